#pragma once

#include <cstddef>
#include <vector>

// How one message reaches many receivers over a thin link: a few get it from the
// sender and pass it on to the others.
namespace marigoldstep {

struct fan_out_branch {
  std::size_t receiver = 0;         // gets the message from the sender
  std::vector<std::size_t> forward; // get it from that receiver
};

// Plans who gets a message of so many bytes from whom; receivers are numbered from
// 0. All get it from the sender while that takes at most direct_bytes in sum.
// Otherwise about the square root of their number do, which keeps what each
// process sends, sender and receivers alike, as small as two steps allow.
std::vector<fan_out_branch> plan_fan_out(std::size_t receivers, std::size_t bytes,
                                         std::size_t direct_bytes);

} // namespace marigoldstep
