#pragma once

#include "marigoldstep/yaml_reader.h"

#include <cstddef>

namespace marigoldstep::io {

// What the machine allows this process.
struct process_limits {
  std::size_t memory_bytes = 0; // 0: no limit
  std::size_t max_fds = 0;      // 0: no limit

  friend bool operator==(const process_limits&, const process_limits&) = default;
};

// Reads memory_mb and max_fds. By default they are the machine's memory and the process's
// limit of open files.
process_limits read_process_limits(yaml_mapping& map);

} // namespace marigoldstep::io
