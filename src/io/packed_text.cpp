#include "marigoldstep/io/packed_text.h"

#include <QByteArray>

namespace marigoldstep::io {

bytes pack_text(std::string_view text) {
  const auto packed = qCompress(reinterpret_cast<const uchar*>(text.data()),
                                static_cast<qsizetype>(text.size()));
  return {packed.begin(), packed.end()};
}

std::string unpack_text(byte_view packed) {
  return qUncompress(packed.data(), static_cast<qsizetype>(packed.size())).toStdString();
}

} // namespace marigoldstep::io
