#pragma once

#include "marigoldstep/dispatch.h"
#include "marigoldstep/types.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// What requests can have in common that crashes the backend servers which run them.
namespace marigoldstep {

enum class trait_kind : std::uint8_t {
  prompt_part,   // a shared part of the prompts of one service
  whole_request, // method, path, caller and body; at any service
};
std::string_view name(trait_kind value);

struct request_trait {
  trait_kind kind = trait_kind::prompt_part;
  std::uint32_t service = 0; // hash; 0 for whole requests
  std::uint64_t id = 0;      // of the part, or the fingerprint of the request

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
  friend auto operator<=>(const request_trait&, const request_trait&) = default;
};

inline bool is_whole(const request_trait& trait) {
  return trait.kind == trait_kind::whole_request;
}

// Kind and id, as in "prompt_part:1f3".
std::string to_string(const request_trait& trait);

struct request_trait_hash {
  std::size_t operator()(const request_trait& trait) const noexcept;
};

// The traits of one request.
struct request_traits {
  std::uint32_t service = 0; // hash of the service that the request is for
  std::vector<request_trait> list;
};

// Kinds and ids, separated by slashes; for log lines.
std::string to_string(const request_traits& traits);

// The traits of a request: the whole of it, and each distinct part of its prompt but the
// last one, which belongs to one request or chat. fingerprint: 0 if it isn't known.
request_traits make_traits(std::uint32_t service, const std::vector<prompt_part>& prompt,
                           std::uint64_t fingerprint);

} // namespace marigoldstep
