#include <catch2/catch.hpp>

#include "event_loop.h"
#include "loopback_address.h"
#include "marigoldstep/io/control_links.h"

using namespace marigoldstep;

namespace {

// A control process that keeps records of streams and answers no search for one.
struct silent_control {
  io::framed_listener listener{nullptr};
  io::framed_connection* connection = nullptr;
  bool has_search = false;

  silent_control(const std::string& host, std::uint16_t port) {
    listener.on_connection = [this](io::framed_connection* it) {
      connection = it;
      it->on_frame = [this](byte_view buf) { handle(buf); };
    };
    REQUIRE_FALSE(listener.listen(QString::fromStdString(host), port));
  }

  void handle(byte_view buf) {
    std::error_code ec;
    const auto frame = wire::decode_link(buf, ec);
    REQUIRE(frame);
    has_search = has_search || frame->body.AsFindStream() != nullptr;
    if (frame->body.AsSubscribe() != nullptr) {
      wire::GroupStatusT status;
      status.has_leader = status.keeps_streams = true;
      connection->send(wire::encode_link(std::move(status)));
    }
  }

  void send_malformed_frame() {
    connection->send(bytes{4, 0, 0, 0, 0xff, 0xff, 0xff, 0xff});
  }
};

} // namespace

// Guards against a crash of the gateway, whose callback ran on after its own deletion.
TEST_CASE("a lost link ends the searches for streams that wait for it") {
  test_application();
  const std::vector<std::string> hosts = {own_loopback_host(30), own_loopback_host(40)};
  const auto port = free_port_on_own_host();
  std::vector<std::unique_ptr<silent_control>> control;
  for (const auto& it : hosts) {
    control.push_back(std::make_unique<silent_control>(it, port));
  }
  io::control_links links({"c", false, "127.0.0.1", port, "z", hosts}, nullptr);
  REQUIRE_FALSE(links.start());
  REQUIRE(wait_until([&] { return links.open_links() == 2; }));
  run_event_loop(std::chrono::milliseconds(100));
  std::vector<io::stream_version> results;
  constexpr std::size_t searches = 3;
  for (std::uint64_t stream = 1; stream <= searches; ++stream) {
    links.find_stream({stream, "s", milliseconds(1000)},
                      [&](const auto& it) { results.push_back(it); });
  }
  REQUIRE(wait_until([&] { return control[0]->has_search && control[1]->has_search; }));
  const bool is_malformed = GENERATE(false, true);
  for (const auto& it : control) {
    CHECK(results.empty());
    if (is_malformed) {
      it->send_malformed_frame();
    } else {
      it->connection->abort();
    }
    const auto open = links.open_links();
    REQUIRE(wait_until([&] { return links.open_links() < open; }));
  }
  REQUIRE(results.size() == searches);
  CHECK_FALSE(results[0].sole);
  CHECK_FALSE(results[0].version);
}
