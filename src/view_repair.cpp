#include "marigoldstep/view_repair.h"

#include <algorithm>

namespace marigoldstep {

namespace {

std::uint32_t id_digest(std::string_view node_id) {
  return static_cast<std::uint32_t>(stable_hash(node_id) >> 32U);
}

std::uint64_t combine(std::uint64_t seed, std::string_view text) {
  return stable_hash(text, seed);
}

std::uint64_t combine(std::uint64_t seed, std::uint64_t value) {
  return stable_hash(
      byte_view(reinterpret_cast<const std::uint8_t*>(&value), sizeof value), seed);
}

std::uint32_t content_digest(const server_info& server) {
  auto hash = combine(0, server.node_id);
  hash = combine(hash, server.incarnation);
  hash = combine(hash, server.service);
  for (const auto& it : server.models) {
    hash = combine(hash, it);
  }
  hash = combine(hash, server.zone);
  hash = combine(hash, server.host);
  hash = combine(hash, server.port);
  hash = combine(hash, static_cast<std::uint64_t>(server.state));
  hash = combine(hash, server.weight_milli);
  return static_cast<std::uint32_t>(hash >> 32U);
}

// A sum, because it doesn't depend on the order of the entries.
void add(bucket_digests& digests, const server_info& server) {
  digests[bucket_of(server.node_id)] += content_digest(server);
}

bool is_in_bucket(const member& it, std::uint8_t bucket) {
  const auto& server = it.report.server;
  return server.state != server_state::dead && bucket_of(server.node_id) == bucket;
}

} // namespace

std::uint8_t bucket_of(std::string_view node_id) {
  return static_cast<std::uint8_t>(stable_hash(node_id) % bucket_count);
}

bucket_digests make_digests(const membership_table& table) {
  bucket_digests out{};
  for (const auto& [id, it] : table.members) {
    if (it.report.server.state != server_state::dead) {
      add(out, it.report.server);
    }
  }
  return out;
}

bucket_digests make_digests(const membership_view& view) {
  bucket_digests out{};
  for (const auto& [id, it] : view.announced) {
    add(out, it);
  }
  return out;
}

std::vector<std::uint8_t> differing_buckets(const bucket_digests& a,
                                            const bucket_digests& b) {
  std::vector<std::uint8_t> out;
  for (std::size_t i = 0; i < bucket_count; ++i) {
    if (a[i] != b[i]) {
      out.push_back(static_cast<std::uint8_t>(i));
    }
  }
  return out;
}

std::vector<entry_digest> make_entry_digests(const membership_view& view,
                                             std::uint8_t bucket) {
  std::vector<entry_digest> out;
  for (const auto& [id, it] : view.announced) {
    if (bucket_of(id) == bucket) {
      out.push_back({id_digest(id), content_digest(it)});
    }
  }
  return out;
}

bucket_repair make_repair(const membership_table& table, std::uint8_t bucket,
                          std::span<const entry_digest> known, std::size_t budget) {
  bucket_repair out;
  out.bucket = bucket;
  std::vector<std::uint32_t> present;
  std::size_t used = 0;
  for (const auto& [id, it] : table.members) {
    if (!is_in_bucket(it, bucket)) {
      continue;
    }
    const auto& server = it.report.server;
    const entry_digest digest{id_digest(id), content_digest(server)};
    present.push_back(digest.id);
    if (std::find(known.begin(), known.end(), digest) != known.end()) {
      continue;
    }
    used += encoded_size(server);
    if (used > budget && !out.changes.empty()) {
      out.done = false;
      continue;
    }
    out.changes.push_back(server);
  }
  for (const auto& it : known) {
    if (std::find(present.begin(), present.end(), it.id) == present.end()) {
      out.absent.push_back(it.id);
    }
  }
  return out;
}

bool apply_repair(membership_view& view, const bucket_repair& repair) {
  std::vector<std::string> removed;
  for (const auto& [id, it] : view.announced) {
    const auto digest = id_digest(id);
    const auto& absent = repair.absent;
    if (bucket_of(id) == repair.bucket &&
        std::find(absent.begin(), absent.end(), digest) != absent.end()) {
      removed.push_back(id);
    }
  }
  for (const auto& it : removed) {
    view.announced.erase(it);
    view.servers.erase(it);
  }
  apply_changes(view, view.term, view.version, false, repair.changes);
  return !removed.empty() || !repair.changes.empty();
}

} // namespace marigoldstep
