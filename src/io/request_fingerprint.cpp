#include "marigoldstep/io/request_fingerprint.h"

#include <QByteArrayView>
#include <QCryptographicHash>

#include <algorithm>
#include <array>

namespace marigoldstep::io {

std::uint64_t fingerprint(const request_identity& identity) {
  QCryptographicHash hash(QCryptographicHash::Blake2b_160);
  // Each length precedes its field, so that no byte can move to the next one.
  for (const auto& field : {identity.method, identity.host, identity.target,
                            identity.workspace, identity.body}) {
    const std::uint64_t size = field.size();
    std::array<char, sizeof size> prefix{};
    for (std::size_t i = 0; i < prefix.size(); ++i) {
      prefix[i] = static_cast<char>(size >> (8 * i));
    }
    hash.addData(QByteArrayView(prefix.data(), prefix.size()));
    hash.addData(QByteArrayView(field.data(), static_cast<qsizetype>(field.size())));
  }
  const auto digest = hash.result();
  std::uint64_t out = 0;
  for (int i = 0; i < 8; ++i) {
    out = (out << 8U) | static_cast<std::uint8_t>(digest[i]);
  }
  return std::max<std::uint64_t>(out, 1);
}

} // namespace marigoldstep::io
