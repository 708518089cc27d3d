#include "marigoldstep/fan_out.h"

#include <algorithm>
#include <cmath>

namespace marigoldstep {

std::vector<fan_out_branch> plan_fan_out(std::size_t receivers, std::size_t bytes,
                                         std::size_t direct_bytes) {
  const bool direct = receivers * bytes <= direct_bytes;
  const auto root =
      static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(receivers))));
  std::vector<fan_out_branch> out(direct ? receivers : root);
  for (std::size_t i = 0; i < out.size(); ++i) {
    out[i].receiver = i;
  }
  for (std::size_t i = out.size(); i < receivers; ++i) {
    out[i % out.size()].forward.push_back(i);
  }
  return out;
}

} // namespace marigoldstep
