#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

// Two-step broadcast for a link of low bandwidth: the sender sends a message to a few
// receivers, which forward it to the others.
namespace marigoldstep {

struct fan_out_branch {
  std::size_t receiver = 0;         // gets the message from the sender
  std::vector<std::size_t> forward; // receivers that it forwards the message to
};

// Plans the broadcast of a message of the given size in bytes; receivers are numbered
// from 0. The sender sends to all of them as long as that takes at most direct_bytes
// in total. Otherwise it sends to the square root of their number, rounded up: with
// two steps this minimizes the bytes that any one process sends.
std::vector<fan_out_branch> plan_fan_out(std::size_t receivers, std::size_t bytes,
                                         std::size_t direct_bytes);

// Plans the broadcast of a message that is sent often. One receiver of each availability
// zone, or more where one would forward over max_forward_bytes, gets the message and
// forwards it within the zone. zones has the zone of each receiver. Successive rounds
// choose other forwarders, so that a lost one costs the same receivers few messages.
std::vector<fan_out_branch> plan_zone_fan_out(const std::vector<std::string>& zones,
                                              std::size_t bytes,
                                              std::size_t max_forward_bytes,
                                              std::uint64_t round);

} // namespace marigoldstep
