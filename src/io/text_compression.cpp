#include "marigoldstep/io/text_compression.h"

#include <QByteArray>
#include <QtEndian>

namespace marigoldstep::io {

bytes compress_text(std::string_view text) {
  const auto compressed = qCompress(reinterpret_cast<const uchar*>(text.data()),
                                    static_cast<qsizetype>(text.size()));
  return {compressed.begin(), compressed.end()};
}

std::string decompress_text(byte_view compressed) {
  return qUncompress(compressed.data(), static_cast<qsizetype>(compressed.size()))
      .toStdString();
}

std::size_t decompressed_size(byte_view compressed) {
  return compressed.size() < sizeof(quint32) ? 0
                                             : qFromBigEndian<quint32>(compressed.data());
}

} // namespace marigoldstep::io
