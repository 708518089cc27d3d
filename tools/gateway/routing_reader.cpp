#include "gateway/routing_reader.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/http_status.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/io/text_compression.h"

namespace marigoldstep::gateway {

namespace {

// Operators wait a second for the whole response, so an older read was given up.
constexpr auto read_expiry = milliseconds(2000);

void refuse(io::http_connection& from, std::string_view problem) {
  io::log_event(io::log_level::info, "routing_read_refused",
                {{"problem", std::string(problem)}});
  from.respond(io::http_status::unavailable, {{"Content-Type", "text/plain"}},
               std::string(problem) + "\n");
}

} // namespace

bool routing_reader::is_busy() const {
  return reader_ && (reader_->is_responding() || reader_->queued_bytes() > 0);
}

void routing_reader::handle_read(io::http_connection& from) {
  const auto now = io::now();
  if (is_busy() && reader_ != &from) {
    if (now - started_at_ < read_expiry) {
      refuse(from, "another read is in progress");
      return;
    }
    reader_->abort();
  }
  reader_ = &from;
  started_at_ = now;
  links_.confirm_version([this, to = QPointer(&from)](std::uint64_t newest) {
    if (!to) {
      return;
    }
    const auto held = links_.routing_version();
    if (newest == 0 || held < newest || links_.packed_routing_text().empty()) {
      refuse(*to, newest == 0 ? "no leader confirmed a version in time"
                              : "an older version is held");
      return;
    }
    const auto text = io::decompress_text(links_.packed_routing_text());
    io::log_event(
        io::log_level::info, "routing_read",
        {{"version", std::to_string(held)}, {"bytes", std::to_string(text.size())}});
    to->respond(io::http_status::ok, {{"Content-Type", "application/json"}}, text);
  });
}

} // namespace marigoldstep::gateway
