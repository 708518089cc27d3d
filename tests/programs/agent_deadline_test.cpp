#include "programs/agent_harness.h"

#include <QTimer>

using namespace agent_harness;

namespace {

// Started at phases that are spread over a second: which coarse timers of Qt fire early,
// and by how much, depends on the phase of the clock.
constexpr int call_count = 20;
constexpr auto call_interval = milliseconds(50);

} // namespace

// Guards against a timer that ends a call although its server was silent for less than
// the idle timeout.
TEST_CASE("an agent lets a backend server be silent for nearly the idle timeout") {
  constexpr auto idle_timeout = milliseconds(3000);
  constexpr auto silence = milliseconds(2900);
  agent_fixture fixture;
  fixture.settings.idle_timeout = idle_timeout;
  const std::string slots = "load_floor: 4, engine_slots: 2";
  auto& text = fixture.control->text;
  text.replace(text.find(slots), slots.size(), "load_floor: 32, engine_slots: 32");
  auto& node = fixture.start();
  fixture.backend->on_call = [&](fake_backend::call& call) {
    fake_backend::write(call, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwh", false);
    QTimer::singleShot(silence, Qt::PreciseTimer, call.socket,
                       [&call] { fake_backend::write(call, "ole", true); });
  };
  std::vector<std::unique_ptr<fake_router>> routers;
  for (int i = 0; i < call_count; ++i) {
    routers.push_back(std::make_unique<fake_router>(node.port()));
    routers.back()->send(routers.back()->make_start(io::make_attempt_id()));
    wait_for([] { return false; }, call_interval);
  }
  for (std::size_t i = 0; i < routers.size(); ++i) {
    CAPTURE(i);
    REQUIRE(routers[i]->wait_for_end());
    CHECK(routers[i]->last_result() == "completed/ok");
  }
}
