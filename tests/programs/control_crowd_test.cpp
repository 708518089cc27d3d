#include <catch2/catch.hpp>

#include "control_group.h"
#include "crowd_check.h"

#include <QTemporaryDir>

// Guards against clients that end a control process by the memory or descriptors that
// their requests take, or that keep operators and servers from being answered. Real
// processes, with low limits.

using namespace marigoldstep;
using namespace marigoldstep::gateway::test;

namespace {

constexpr std::size_t memory_mb = 120;
constexpr std::size_t max_fds = 400;
constexpr std::size_t clients = 30;
constexpr std::size_t max_body = 8U << 20U;
constexpr std::size_t max_head = 16U << 10U;
const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";

// A group of one.
class control_process {
public:
  control_process() : program_("mstep-control", settings()) {
    REQUIRE(wait_until([&] {
      const auto response =
          control::test::call_api(api(), "POST", "/v1/Config.Replace", text_);
      return control::test::starts_with_status(response, "200");
    }));
  }

  [[nodiscard]] io::endpoint api() const { return {host(), api_port_}; }
  [[nodiscard]] io::endpoint admin() const {
    return {host(), io::port_of(first_port_, io::fleet_port::metrics)};
  }
  [[nodiscard]] crowd_target target(const io::endpoint& port, const std::string& path,
                                    const std::string& response) {
    const auto request = [path](int) {
      return "GET " + path + " HTTP/1.1\r\nHost: c\r\n\r\n";
    };
    return {program_, port, memory_mb, max_fds, port, request, response};
  }
  [[nodiscard]] const std::string& text() const { return text_; }

private:
  static std::string host() { return own_network_host(1); }
  [[nodiscard]] std::string settings() const {
    return "node_id: c\nhost: " + host() + "\ndata_dir: " + folder_.path().toStdString() +
           "\napi: " + host() + ":" + std::to_string(api_port_) + "\nports: [\"" +
           std::to_string(first_port_) + "\", \"" + std::to_string(first_port_ + 9) +
           "\"]\nseeds: [\"" + host() + ":1\"]\nfirst_start: true\n" +
           "tolerated_losses: 0\nlog_file: \"-\"\nmemory_mb: " +
           std::to_string(memory_mb) + "\nmax_fds: " + std::to_string(max_fds) + "\n";
  }

  QTemporaryDir folder_;
  std::string text_ = routing_text(1);
  std::uint16_t api_port_ = gateway_fixture::free_address().port;
  std::uint16_t first_port_ = gateway_fixture::free_address().port;
  program_process program_;
};

} // namespace

TEST_CASE("a control process bears crowds at its port for operators and servers") {
  const auto kinds = crowd_kinds(head, "/v1/Config.Read", max_body, max_head);
  const auto i = GENERATE_COPY(range(std::size_t{0}, kinds.size()));
  control_process it;
  check_crowd(it.target(it.api(), "/v1/Config.Read", it.text()), kinds[i], clients);
}

TEST_CASE("a control process bears crowds at its admin port") {
  const auto kinds = crowd_kinds(head, "/metrics", max_body, max_head);
  const auto i = GENERATE_COPY(range(std::size_t{0}, kinds.size()));
  control_process it;
  check_crowd(it.target(it.admin(), "/healthz", "\r\n\r\nok"), kinds[i], clients);
}
