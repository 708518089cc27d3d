// Records of the software versions that began streams, kept by control processes.
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/control_links.h"

#include <algorithm>

namespace marigoldstep::io {

namespace {

// A record survives the loss of the gateway that sent it together with one control
// process.
constexpr std::size_t record_copies = 2;
constexpr auto record_timeout = milliseconds(1000);
// A reply takes one round trip. The caller waits, and is refused without one.
constexpr auto search_timeout = milliseconds(250);

} // namespace

// The stream's hash decides which control processes get it, which spreads the records.
void control_links::record_stream(std::uint64_t stream, const std::string& version,
                                  milliseconds keep, std::function<void(bool)> done) {
  std::vector<std::pair<std::uint64_t, link*>> targets;
  for (auto& [host, it] : links_) {
    if (it.is_open && it.keeps_streams) {
      targets.emplace_back(stable_hash(host, stream), &it);
    }
  }
  if (targets.empty()) {
    done(false);
    return;
  }
  std::sort(targets.begin(), targets.end());
  targets.resize(std::min(targets.size(), record_copies));
  wire::RecordStreamT message;
  message.token = next_token_++;
  message.stream = stream;
  message.version = version;
  message.keep_ms = static_cast<std::uint32_t>(keep.count());
  forwards_[message.token] = {io::now() + record_timeout, std::move(done)};
  const auto buf = wire::encode_link(std::move(message));
  for (const auto& [score, it] : targets) {
    it->connection->send(buf);
  }
}

void control_links::find_stream(const stream_query& query,
                                std::function<void(stream_version)> done) {
  wire::FindStreamT message;
  message.token = next_token_++;
  message.stream = query.stream;
  message.service = query.service;
  message.window_ms = static_cast<std::uint32_t>(query.window.count());
  stream_search search;
  search.deadline = io::now() + search_timeout;
  search.done = std::move(done);
  const auto buf = wire::encode_link(message);
  for (auto& [host, it] : links_) {
    if (it.is_open && it.keeps_streams) {
      search.hosts.insert(host);
      it.connection->send(buf);
    }
  }
  if (search.hosts.empty()) {
    search.done({});
    return;
  }
  searches_[message.token] = std::move(search);
}

void control_links::handle_stream_found(const std::string& host,
                                        const wire::StreamFoundT& reply) {
  const auto it = searches_.find(reply.token);
  if (it == searches_.end()) {
    return;
  }
  auto& search = it->second;
  search.hosts.erase(host);
  if (reply.has_sole) {
    search.sole = reply.sole;
  }
  if (!reply.found && !search.hosts.empty()) {
    return;
  }
  const auto ended = std::move(search);
  searches_.erase(it);
  ended.done({reply.found ? std::optional(reply.version) : std::nullopt, ended.sole});
}

// Ends a search that found no record.
void control_links::end_search(std::uint64_t token) {
  const auto ended = std::move(searches_.at(token));
  searches_.erase(token);
  ended.done({std::nullopt, ended.sole});
}

// A link that was lost brings no reply.
void control_links::end_searches_at(const std::string& host) {
  std::vector<std::uint64_t> ended;
  for (auto& [token, it] : searches_) {
    if (it.hosts.erase(host) > 0 && it.hosts.empty()) {
      ended.push_back(token);
    }
  }
  std::for_each(ended.begin(), ended.end(), [this](auto token) { end_search(token); });
}

void control_links::expire_searches(time_point now) {
  std::vector<std::uint64_t> ended;
  for (const auto& [token, it] : searches_) {
    if (now >= it.deadline) {
      ended.push_back(token);
    }
  }
  std::for_each(ended.begin(), ended.end(), [this](auto token) { end_search(token); });
}

bool control_links::record_version(const std::string& service,
                                   const std::string& version) {
  auto* to = find_leader_link();
  if (to == nullptr || to->protocol < wire::recording_link_protocol) {
    return false;
  }
  wire::RecordVersionT message;
  message.service = service;
  message.version = version;
  to->connection->send(wire::encode_link(std::move(message)));
  return true;
}

} // namespace marigoldstep::io
