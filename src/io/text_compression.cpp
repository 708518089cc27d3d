#include "marigoldstep/io/text_compression.h"

#include <QByteArray>

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

} // namespace marigoldstep::io
