#include "control/replica.h"
#include "control/service.h"
#include "loopback_address.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/control_client.h"

#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QTcpServer>
#include <QTemporaryDir>
#include <QTimer>

#include <algorithm>
#include <fstream>

using namespace marigoldstep;

namespace {

// An election must take less than 1 s (section 8 of the design page).
constexpr auto election_limit = milliseconds(1000);

bool wait_for(const std::function<bool()>& done,
              milliseconds limit = milliseconds(5000)) {
  const auto until = io::now() + limit;
  while (!done()) {
    if (io::now() >= until) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
  }
  return true;
}

struct control_process {
  explicit control_process(const control::control_settings& settings)
      : group(settings, nullptr), service(group, settings.operators, nullptr) {
    INFO("listens on ports " << settings.listen.port << " and "
                             << settings.listen_peer.port);
    std::error_code ec = service.listen(settings.listen);
    REQUIRE_FALSE(ec);
    std::string detail;
    group.start(settings.advertise, ec, detail);
    INFO(detail);
    REQUIRE_FALSE(ec);
  }
  ~control_process() {
    service.stop();
    group.stop();
  }

  control::replica group;
  control::service service;
};

struct control_group {
  explicit control_group(std::size_t n) {
    const auto boot = folder.path().toStdString() + "/boot.yaml";
    std::ofstream(boot) << "fleet: test\n";
    for (std::size_t i = 0; i < n; ++i) {
      control::control_settings it;
      it.data_dir = folder.path().toStdString() + "/" + std::to_string(i);
      it.listen = it.advertise = {own_loopback_host(), free_port_on_own_host()};
      it.listen_peer = it.advertise_peer = {own_loopback_host(), free_port_on_own_host()};
      it.bootstrap_configuration = boot;
      it.operators = {{"ana", "secret"}};
      settings.push_back(it);
    }
    for (auto& it : settings) {
      for (const auto& other : settings) {
        if (other.listen_peer != it.listen_peer) {
          it.peers.push_back(other.listen_peer);
        }
      }
      processes.push_back(std::make_unique<control_process>(it));
      endpoints.push_back(it.listen);
    }
    client = std::make_unique<io::control_client>(endpoints, nullptr);
    REQUIRE(wait_for([&] { return accepted() == 1; }));
  }

  // Index of the leader; -1 without one.
  int leader() const {
    for (std::size_t i = 0; i < processes.size(); ++i) {
      if (processes[i] && processes[i]->group.is_leader()) {
        return static_cast<int>(i);
      }
    }
    return -1;
  }

  std::uint64_t accepted() const {
    const auto i = leader();
    return i < 0 ? 0
                 : processes[static_cast<std::size_t>(i)]->group.state().accepted_version;
  }

  template <typename Body> std::unique_ptr<wire::ControlFrameT> request(Body body) {
    std::optional<io::control_result> result;
    client->request(std::move(body), milliseconds(4000),
                    [&](io::control_result it) { result = std::move(it); });
    REQUIRE(wait_for([&] { return result.has_value(); }));
    REQUIRE(result->reply);
    return std::move(result->reply);
  }

  wire::ChangeReplyT request_change(wire::ChangeKind kind, const std::string& id,
                                    std::uint64_t base,
                                    const std::string& key = "secret") {
    wire::ChangeRequestT body;
    body.kind = kind;
    body.change_id = id;
    body.author = "ana";
    body.operator_key = key;
    body.base_version = base;
    body.text = "fleet: test\n";
    const auto reply = request(body);
    REQUIRE(reply->body.AsChangeReply() != nullptr);
    return *reply->body.AsChangeReply();
  }

  wire::MemberReplyT request_member_change(wire::MemberKind kind, member_id id,
                                           std::uint16_t port) {
    wire::MemberRequestT body;
    body.kind = kind;
    body.node_id = id;
    body.host = own_loopback_host();
    body.port = port;
    body.operator_key = "secret";
    return *request(body)->body.AsMemberReply();
  }

  QTemporaryDir folder;
  std::vector<control::control_settings> settings;
  std::vector<std::unique_ptr<control_process>> processes;
  std::vector<io::endpoint> endpoints;
  std::unique_ptr<io::control_client> client;
};

void ensure_application() {
  static int argc = 1;
  static char name[] = "control_test";
  static char* argv[] = {name, nullptr};
  static QCoreApplication app(argc, argv);
}

} // namespace

// Guards against an accepted change that is lost or reverted when the leader is lost or
// every process restarts, and against elections that take too long.
TEST_CASE(
    "accepted changes survive the loss of the leader and a restart of all processes") {
  ensure_application();
  control_group it(3);
  CHECK(it.request_change(wire::ChangeKind::propose, "c1", 1, "wrong").error_code ==
        static_cast<std::uint16_t>(errc::not_authorized));
  CHECK(it.request_change(wire::ChangeKind::propose, "c1", 1).outcome ==
        wire::ChangeOutcome::pending);
  CHECK(it.request_change(wire::ChangeKind::approve, "c1", 1).version == 2);
  const auto first = it.leader();
  it.processes[static_cast<std::size_t>(first)].reset();
  REQUIRE(wait_for([&] { return it.leader() >= 0; }, election_limit));
  // A resend gets the first reply.
  CHECK(it.request_change(wire::ChangeKind::approve, "c1", 1).version == 2);
  for (std::size_t i = 0; i < it.processes.size(); ++i) {
    it.processes[i].reset();
  }
  for (std::size_t i = 0; i < it.processes.size(); ++i) {
    it.processes[i] = std::make_unique<control_process>(it.settings[i]);
  }
  REQUIRE(wait_for([&] { return it.accepted() == 2; }));
  const auto reply = it.request(wire::FetchConfigT());
  CHECK(reply->body.AsConfigReply()->version == 2);
}

// Guards against a member that continues after a failed sync: it must not lead, and
// must not acknowledge entries that it did not store.
TEST_CASE("a member whose sync fails goes out of service and stops leading") {
  ensure_application();
  control_group it(3);
  const auto failed = static_cast<std::size_t>(it.leader());
  it.processes[failed]->group.log().inject_error = [](const storage_op&) {
    return std::make_error_code(std::errc::no_space_on_device);
  };
  // The member returns after a second with working storage, possibly before the reply to
  // the change arrives.
  bool went_out_of_service = false;
  QTimer poll_timer;
  QObject::connect(&poll_timer, &QTimer::timeout, &poll_timer, [&] {
    const auto& group = it.processes[failed]->group;
    if (group.out_of_service()) {
      went_out_of_service = true;
      CHECK_FALSE(group.is_leader());
      CHECK_FALSE(group.is_ready());
    }
  });
  poll_timer.start(std::chrono::milliseconds(5));
  const auto reply = it.request_change(wire::ChangeKind::propose, "c1", 1);
  CHECK(reply.outcome == wire::ChangeOutcome::pending);
  // The other two members are a quorum, so the reply can arrive before the failure.
  REQUIRE(wait_for([&] { return went_out_of_service; }));
  REQUIRE(wait_for([&] { return it.leader() >= 0; }, election_limit));
  CHECK(it.leader() != static_cast<int>(failed));
}

// Guards against a member that lost its disk and returns under its old identity or forms
// a second group, and against member changes that leave no quorum.
TEST_CASE("a member that lost its disk rejoins as a learner under a new id") {
  ensure_application();
  control_group it(3);
  const auto leader = static_cast<std::size_t>(it.leader());
  const auto lost = (leader + 1) % 3;
  const auto other = (leader + 2) % 3;
  const auto old_id = it.processes[lost]->group.node()->identity.id;
  const auto other_id = it.processes[other]->group.node()->identity.id;
  const auto port = it.settings[lost].listen_peer.port;
  it.processes[lost].reset();
  QDir(QString::fromStdString(it.settings[lost].data_dir)).removeRecursively();
  it.processes[lost] = std::make_unique<control_process>(it.settings[lost]);
  const auto& group = it.processes[lost]->group;
  const auto new_id = group.node()->identity.id;
  CHECK(new_id != old_id);

  const auto unsafe_change =
      it.request_member_change(wire::MemberKind::remove, other_id, 0);
  CHECK(unsafe_change.error_code ==
        static_cast<std::uint16_t>(errc::unsafe_member_change));
  CHECK_FALSE(unsafe_change.message.empty());

  CHECK(
      it.request_member_change(wire::MemberKind::add_learner, new_id, port).error_code ==
      0);
  REQUIRE(wait_for([&] { return group.state().accepted_version == 1; }));
  CHECK(is_voter(members(*group.node()), new_id) == false);
  CHECK(it.request_member_change(wire::MemberKind::remove, old_id, 0).error_code == 0);
  REQUIRE(wait_for([&] {
    return it.request_member_change(wire::MemberKind::promote, new_id, 0).error_code == 0;
  }));
  REQUIRE(wait_for([&] { return is_voter(members(*group.node()), new_id); }));
  // The repaired group tolerates the loss of another member.
  it.processes[leader].reset();
  REQUIRE(wait_for([&] { return it.leader() >= 0; }, election_limit));
  CHECK(it.request_change(wire::ChangeKind::propose, "c2", 1).outcome ==
        wire::ChangeOutcome::pending);
}
