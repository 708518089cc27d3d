#include "marigoldstep/request_trait.h"

#include <algorithm>

namespace marigoldstep {

std::string_view name(trait_kind value) {
  switch (value) {
  case trait_kind::prompt_part:
    return "prompt_part";
  case trait_kind::whole_request:
    return "whole_request";
  }
  return "whole_request";
}

std::string to_string(const request_trait& trait) {
  return std::string(name(trait.kind)) + ":" + hex_id(trait.id);
}

std::string to_string(const request_traits& traits) {
  std::string out;
  for (const auto& it : traits.list) {
    out += (out.empty() ? "" : "/") + to_string(it);
  }
  return out;
}

// Fingerprints and ids of parts are evenly distributed hashes.
std::size_t request_trait_hash::operator()(const request_trait& trait) const noexcept {
  const std::uint64_t rest =
      (std::uint64_t{trait.service} << 8U) | static_cast<std::uint8_t>(trait.kind);
  return static_cast<std::size_t>(trait.id ^ (rest * 0x9e3779b97f4a7c15ULL));
}

request_traits make_traits(std::uint32_t service, const std::vector<prompt_part>& prompt,
                           std::uint64_t fingerprint) {
  request_traits out{service, {}};
  if (fingerprint != 0) {
    out.list.push_back({trait_kind::whole_request, 0, fingerprint});
  }
  for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
    const request_trait it{trait_kind::prompt_part, service, prompt[i].id};
    if (std::find(out.list.begin(), out.list.end(), it) == out.list.end()) {
      out.list.push_back(it);
    }
  }
  return out;
}

} // namespace marigoldstep
