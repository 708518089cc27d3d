#pragma once

#include "marigoldstep/types.h"

#include <string>
#include <string_view>

namespace marigoldstep::io {

// Compresses a text with zlib, prefixed by its length. Routing configurations with
// hundreds of routes shrink to a tenth.
bytes compress_text(std::string_view text);

// Reverses compress_text(). Returns an empty text when the bytes are not valid.
std::string decompress_text(byte_view compressed);

// Length of the text that compress_text() compressed; 0 when the bytes are too short.
std::size_t decompressed_size(byte_view compressed);

} // namespace marigoldstep::io
