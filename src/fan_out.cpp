#include "marigoldstep/fan_out.h"

#include <algorithm>
#include <cmath>
#include <map>

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

std::vector<fan_out_branch> plan_zone_fan_out(const std::vector<std::string>& zones,
                                              std::size_t bytes,
                                              std::size_t max_forward_bytes,
                                              std::uint64_t round) {
  std::map<std::string, std::vector<std::size_t>> by_zone;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    by_zone[zones[i]].push_back(i);
  }
  std::vector<fan_out_branch> out;
  for (auto& [zone, list] : by_zone) {
    const auto per_forwarder =
        1 + max_forward_bytes / std::max<std::size_t>(1, bytes); // itself included
    const auto forwarders = (list.size() + per_forwarder - 1) / per_forwarder;
    const auto first = static_cast<std::ptrdiff_t>(round * forwarders % list.size());
    std::rotate(list.begin(), list.begin() + first, list.end());
    const auto begin = out.size();
    for (std::size_t i = 0; i < list.size(); ++i) {
      if (i < forwarders) {
        out.push_back({list[i], {}});
      } else {
        out[begin + i % forwarders].forward.push_back(list[i]);
      }
    }
  }
  return out;
}

} // namespace marigoldstep
