#pragma once

#include "marigoldstep/wire.h"

#include <map>
#include <string>

namespace marigoldstep {

// The stored form of an operator's key. io/operator_key.h computes the digest.
struct operator_record {
  bytes salt;
  bytes digest; // SHA-256 of salt and key

  friend bool operator==(const operator_record&, const operator_record&) = default;
};

using operator_table = std::map<std::string, operator_record>;

inline constexpr std::size_t operator_salt_bytes = 16;
inline constexpr std::size_t operator_digest_bytes = 32;
inline constexpr std::size_t max_operators = 64;

// Applies an authorized request. Adding a name that exists replaces its key. The last
// operator can't be removed, because without operators every peer could send changes.
wire::OperatorReplyT apply_operator(operator_table& table,
                                    const wire::OperatorRequestT& request);

} // namespace marigoldstep
