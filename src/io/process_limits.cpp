#include "marigoldstep/io/process_limits.h"

#include <algorithm>
#include <sys/resource.h>
#include <unistd.h>

namespace marigoldstep::io {

namespace {

constexpr std::size_t bytes_per_mb = 1U << 20U;

std::size_t machine_memory_mb() {
  const auto pages = ::sysconf(_SC_PHYS_PAGES);
  const auto page_bytes = ::sysconf(_SC_PAGESIZE);
  return pages > 0 && page_bytes > 0
             ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_bytes) /
                   bytes_per_mb
             : 0;
}

std::size_t open_file_limit() {
  rlimit it{};
  return ::getrlimit(RLIMIT_NOFILE, &it) == 0 && it.rlim_cur != RLIM_INFINITY
             ? static_cast<std::size_t>(it.rlim_cur)
             : 0;
}

} // namespace

process_limits read_process_limits(yaml_mapping& map) {
  constexpr std::int64_t max_memory_mb = 1 << 20;
  constexpr std::int64_t max_fds = 1 << 24;
  const auto clamp = [](std::size_t n, std::int64_t high) {
    return std::min(static_cast<std::int64_t>(n), high);
  };
  process_limits out;
  out.memory_bytes =
      bytes_per_mb *
      static_cast<std::size_t>(read_integer(
          map, "memory_mb", clamp(machine_memory_mb(), max_memory_mb), 0, max_memory_mb));
  out.max_fds = static_cast<std::size_t>(
      read_integer(map, "max_fds", clamp(open_file_limit(), max_fds), 0, max_fds));
  return out;
}

} // namespace marigoldstep::io
