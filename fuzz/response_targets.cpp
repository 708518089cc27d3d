#include "response_targets.h"

#include "marigoldstep/io/http_parser.h"
#include "marigoldstep/server_notice.h"
#include "platform/messages.h"

#include <cstdlib>

namespace marigoldstep::fuzz {

void parse_response(byte_view data) {
  std::error_code ec;
  io::http_parser parser(io::http_role::response, {});
  parser.feed(as_text(data), ec);
  if (ec || !parser.has_head()) {
    return;
  }
  const auto metadata = platform::parse_response_head(parser.head());
  const bool foreign_notice =
      metadata.wrong_server && (metadata.leaving || metadata.backoff);
  const bool in_range = !metadata.backoff || (*metadata.backoff > milliseconds(0) &&
                                              *metadata.backoff <= max_server_backoff);
  if (foreign_notice || !in_range) {
    std::abort();
  }
}

} // namespace marigoldstep::fuzz
