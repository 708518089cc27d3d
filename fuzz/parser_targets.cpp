#include "parser_targets.h"

#include "marigoldstep.h"

#include <cstdlib>

namespace marigoldstep::fuzz {

namespace {

void require(bool condition) {
  if (!condition) {
    std::abort();
  }
}

template <typename Decode> void check_frame(byte_view data, Decode decode) {
  std::error_code ec;
  const auto frame = decode(data, ec);
  require((frame == nullptr) == bool(ec));
  if (!frame) {
    return;
  }
  // Compares encoded bytes, since the generated operator== compares owned tables by
  // address.
  const auto encoded = wire::encode(*frame);
  const auto again = decode(byte_view(encoded), ec);
  require(again != nullptr && wire::encode(*again) == encoded);
}

} // namespace

void parse_frames(byte_view data) {
  std::error_code ec;
  const auto n = wire::frame_size(data, ec);
  require(n <= data.size());
  check_frame(data, wire::decode_data);
  check_frame(data, wire::decode_control);
  check_frame(data, wire::decode_raft);
}

void parse_texts(byte_view data) {
  const auto text = as_text(data);
  yaml_report report{"fuzz.yaml", {}};
  parse_configuration(text, 1, report);
  for (const auto& it : report.problems) {
    require(!it.text.empty() && it.line >= 0);
  }
  std::size_t skipped = 0;
  const auto records = parse_log(text, skipped);
  build_report(records, "fuzz", {});
  parse_attempt_id(text);
}

} // namespace marigoldstep::fuzz
