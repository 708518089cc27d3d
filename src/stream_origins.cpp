#include "marigoldstep/stream_origins.h"

namespace marigoldstep {

namespace {

// Longer than callers resume a stream.
constexpr auto version_retention = std::chrono::hours(1);

void erase_first(stream_origins& origins) {
  const auto first = origins.by_expiry.begin();
  origins.by_stream.erase(first->second);
  origins.by_expiry.erase(first);
}

} // namespace

std::uint64_t stream_key(std::string_view service, std::string_view request_id) {
  return stable_hash(request_id, stable_hash(service));
}

void record_origin(stream_origins& origins, std::uint64_t stream,
                   const std::string& version, time_point keep_until, time_point now) {
  while (!origins.by_expiry.empty() && origins.by_expiry.begin()->first <= now) {
    erase_first(origins);
  }
  const auto [it, is_new] =
      origins.by_stream.try_emplace(stream, detail::stream_origin{version, keep_until});
  if (!is_new) {
    if (it->second.version != version) {
      it->second.version.reset();
    }
    return;
  }
  origins.by_expiry.emplace(keep_until, stream);
  if (origins.by_stream.size() > detail::max_stream_origins) {
    erase_first(origins);
  }
}

std::optional<std::string> find_origin(const stream_origins& origins,
                                       std::uint64_t stream, time_point now) {
  const auto it = origins.by_stream.find(stream);
  return it == origins.by_stream.end() || it->second.keep_until <= now
             ? std::nullopt
             : it->second.version;
}

void record_version(version_history& history, const service_version& it, time_point now) {
  history.services[it.service][it.version] = now;
}

void record_earlier_version(version_history& history, const service_version& it,
                            time_point now) {
  history.services[it.service].try_emplace(it.version, now);
}

std::vector<service_version> expired_versions(const version_history& history,
                                              time_point now) {
  std::vector<service_version> out;
  for (const auto& [service, versions] : history.services) {
    for (const auto& [version, last_known] : versions) {
      if (now - last_known > version_retention) {
        out.push_back({service, version});
      }
    }
  }
  return out;
}

void remove_version(version_history& history, const service_version& it) {
  const auto found = history.services.find(it.service);
  if (found != history.services.end()) {
    found->second.erase(it.version);
  }
}

std::optional<std::string> sole_version(const version_history& history,
                                        const std::string& service, time_point since) {
  const auto found = history.services.find(service);
  if (found == history.services.end()) {
    return std::nullopt;
  }
  std::optional<std::string> out;
  for (const auto& [version, last_known] : found->second) {
    if (last_known < since) {
      continue;
    }
    if (out) {
      return std::nullopt;
    }
    out = version;
  }
  return out;
}

} // namespace marigoldstep
