// The software versions that began streams, recorded by gateways. Soft state: a process
// that restarts has none.
#include "control/link_service.h"
#include "marigoldstep/io/clock.h"

namespace marigoldstep::control {

namespace {

// Limits how long a record can take memory.
constexpr auto max_keep_time = milliseconds(3'600'000);

} // namespace

void link_service::handle_stream_record(io::framed_connection* connection,
                                        const wire::RecordStreamT& record) {
  const auto now = io::now();
  const auto keep = std::min(milliseconds(record.keep_ms), max_keep_time);
  record_origin(origins_, record.stream, record.version, now + keep, now);
  wire::StreamRecordedT reply;
  reply.token = record.token;
  connection->send(wire::encode_link(reply));
}

void link_service::handle_stream_search(io::framed_connection* connection,
                                        const wire::FindStreamT& search) {
  const auto version = find_origin(origins_, search.stream, io::now());
  wire::StreamFoundT reply;
  reply.token = search.token;
  reply.found = version.has_value();
  reply.version = version.value_or("");
  connection->send(wire::encode_link(std::move(reply)));
}

} // namespace marigoldstep::control
