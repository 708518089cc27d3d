#pragma once

#include "marigoldstep/server_directory.h"
#include "marigoldstep/types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Which software version began a stream that its caller may resume at any router. What
// servers of two versions write can't be joined, and the servers don't check it. The
// functions do no I/O.
namespace marigoldstep {

// Identifies a stream of a service by the request that began it.
std::uint64_t stream_key(std::string_view service, std::string_view request_id);

namespace detail {
struct stream_origin {
  std::optional<std::string> version; // unset after records that contradict each other
  time_point keep_until{};
};
// Limits memory, about 200 bytes each.
inline constexpr std::size_t max_stream_origins = 50'000;
} // namespace detail

// Versions by stream_key(). Streams that can't be resumed any more are removed.
struct stream_origins {
  std::unordered_map<std::uint64_t, detail::stream_origin> by_stream;
  std::multimap<time_point, std::uint64_t> by_expiry;
};

// Records the version that began a stream. A stream keeps its version; a record of
// another one makes it unknown. Beyond the limit the streams that expire first are
// removed.
void record_origin(stream_origins& origins, std::uint64_t stream,
                   const std::string& version, time_point keep_until, time_point now);

// The version that began the stream, unless it is unknown.
std::optional<std::string> find_origin(const stream_origins& origins,
                                       std::uint64_t stream, time_point now);

// A software version of the servers of a service.
struct service_version {
  std::string service;
  std::string version;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
  friend auto operator<=>(const service_version&, const service_version&) = default;
};

// Versions that the servers of each service had, with the time at which each was last
// known.
struct version_history {
  std::map<std::string, std::map<std::string, time_point>> services;
};

void record_version(version_history& history, const service_version& it, time_point now);
// Records a version of which this process knows only that it existed at some time. It
// counts as known until now, unless its time is known.
void record_earlier_version(version_history& history, const service_version& it,
                            time_point now);

// Versions that were not known for longer than callers resume a stream.
std::vector<service_version> expired_versions(const version_history& history,
                                              time_point now);
void remove_version(version_history& history, const service_version& it);

// The version that all servers of the service have had since then, if they had the same.
// Right only if the history holds every version that existed since then.
std::optional<std::string> sole_version(const version_history& history,
                                        const std::string& service, time_point since);

} // namespace marigoldstep
