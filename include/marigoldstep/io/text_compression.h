#pragma once

#include "marigoldstep/types.h"

#include <string>
#include <string_view>

namespace marigoldstep::io {

// Compresses a text with zlib behind a length header. Routing configurations of
// hundreds of routes shrink to a tenth.
bytes compress_text(std::string_view text);

// The text again; empty when the bytes aren't a compressed text.
std::string decompress_text(byte_view compressed);

} // namespace marigoldstep::io
