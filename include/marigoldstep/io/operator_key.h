#pragma once

#include "marigoldstep/operators.h"

#include <string>
#include <string_view>

namespace marigoldstep::io {

// Generates a random key of 256 bits as 64 hexadecimal digits. Because keys are never
// chosen by people, one round of SHA-256 is enough to store them.
std::string make_operator_key();

// Hashes a key with a new random salt.
operator_record hash_operator_key(std::string_view key);

// Whether the key has the record's digest. Compares in constant time.
bool matches(const operator_record& record, std::string_view key);

// Whether an operator's request is authorized: there are no operators yet, or the key
// belongs to author. An empty author matches any operator.
bool authorize(const operator_table& table, const std::string& author,
               std::string_view key);

} // namespace marigoldstep::io
