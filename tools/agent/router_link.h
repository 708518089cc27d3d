#pragma once

#include "marigoldstep/io/framed_connection.h"
#include "marigoldstep/verdict.h"
#include "marigoldstep/wire.h"

#include <functional>
#include <string>

namespace marigoldstep::agent {

// Configuration version and load sent with each frame.
struct frame_metadata {
  std::uint64_t config_version = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;
  std::uint32_t mean_milli = 0;
};

// Connection from a router.
struct router_link {
  io::framed_connection* connection = nullptr;
  std::string node_id; // empty until the router's Hello was received
  incarnation router_incarnation = 0;
  bool takes_acknowledgements = false;
  std::uint64_t bytes_received = 0; // when last looked at
  std::uint64_t bytes_sent = 0;     // at that time
  std::function<frame_metadata()> make_metadata;
};

template <typename Body> bool send(router_link& link, Body body) {
  const auto metadata = link.make_metadata();
  auto frame = wire::data_frame(std::move(body), metadata.config_version);
  frame.load = std::make_unique<wire::LoadFacts>(metadata.running, metadata.queued,
                                                 metadata.limit, metadata.mean_milli);
  return link.connection->send(wire::encode(frame));
}

// Sends the end of an attempt without using its record in the attempt store.
void send_end(router_link& link, const attempt_id& id, const outcome& result,
              const std::string& detail);

} // namespace marigoldstep::agent
