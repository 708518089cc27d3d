// libFuzzer entry point, built with clang by scripts/fuzz.
#include "parser_targets.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const marigoldstep::byte_view input(data, size);
  marigoldstep::fuzz::parse_frames(input);
  marigoldstep::fuzz::parse_texts(input);
  return 0;
}
