#pragma once

#include "marigoldstep/io/framed_connection.h"
#include "marigoldstep/verdict.h"
#include "marigoldstep/wire.h"

#include <functional>
#include <string>

namespace marigoldstep::agent {

// What every frame of an agent carries beside its body.
struct frame_metadata {
  std::uint64_t config_version = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;
  std::uint32_t mean_milli = 0;
};

// One connection from a router.
struct router_link {
  io::framed_connection* connection = nullptr;
  std::string node_id; // empty before the router's Hello
  std::function<frame_metadata()> make_metadata;
};

template <typename Body> bool send(router_link& link, Body body) {
  const auto metadata = link.make_metadata();
  auto frame = wire::data_frame(std::move(body), metadata.config_version);
  frame.load = std::make_unique<wire::LoadFacts>(metadata.running, metadata.queued,
                                                 metadata.limit, metadata.mean_milli);
  return link.connection->send(wire::encode(frame));
}

// Sends the end of an attempt that has no record here.
void send_end(router_link& link, const attempt_id& id, const outcome& result,
              const std::string& detail);

} // namespace marigoldstep::agent
