#pragma once

#include "marigoldstep/operators.h"

#include <string>
#include <string_view>

namespace marigoldstep::io {

// A new random key of 256 bits as 64 hexadecimal digits. Keys are always random,
// never chosen by people, so that one round of SHA-256 is enough.
std::string make_operator_key();

// Hashes a key with a new random salt.
operator_record hash_operator_key(std::string_view key);

// Takes the same time whether and where the digests differ.
bool matches(const operator_record& record, std::string_view key);

// Whether a request of an operator may be taken: there are no operators yet, or the
// key belongs to author. An empty author stands for any operator.
bool authorize(const operator_table& table, const std::string& author,
               std::string_view key);

} // namespace marigoldstep::io
