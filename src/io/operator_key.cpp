#include "marigoldstep/io/operator_key.h"

#include <QByteArray>
#include <QCryptographicHash>
#include <QRandomGenerator>

#include <algorithm>
#include <array>

namespace marigoldstep::io {

namespace {

constexpr std::size_t key_bytes = 32;

bytes random_bytes(std::size_t n) {
  bytes out(n);
  auto* source = QRandomGenerator::system();
  std::generate(out.begin(), out.end(), [source] {
    return static_cast<std::uint8_t>(source->generate() & 0xffU);
  });
  return out;
}

QByteArray as_byte_array(byte_view data) {
  return {reinterpret_cast<const char*>(data.data()),
          static_cast<qsizetype>(data.size())};
}

bytes digest_of(byte_view salt, std::string_view key) {
  QCryptographicHash hash(QCryptographicHash::Sha256);
  hash.addData(as_byte_array(salt));
  hash.addData(as_byte_array(as_bytes(key)));
  const auto out = hash.result();
  return {out.begin(), out.end()};
}

} // namespace

std::string make_operator_key() {
  return as_byte_array(random_bytes(key_bytes)).toHex().toStdString();
}

operator_record hash_operator_key(std::string_view key) {
  operator_record out;
  out.salt = random_bytes(operator_salt_bytes);
  out.digest = digest_of(out.salt, key);
  return out;
}

bool matches(const operator_record& record, std::string_view key) {
  const auto digest = digest_of(record.salt, key);
  std::uint8_t difference = digest.size() == record.digest.size() ? 0 : 1;
  for (std::size_t i = 0; i < std::min(digest.size(), record.digest.size()); ++i) {
    difference |= digest[i] ^ record.digest[i];
  }
  return difference == 0;
}

bool authorize(const operator_table& table, const std::string& author,
               std::string_view key) {
  if (table.empty()) {
    return true;
  }
  if (!author.empty()) {
    const auto it = table.find(author);
    return it != table.end() && matches(it->second, key);
  }
  return std::any_of(table.begin(), table.end(),
                     [key](const auto& it) { return matches(it.second, key); });
}

} // namespace marigoldstep::io
