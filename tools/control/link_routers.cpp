// The number of routers in the fleet, by which they share common limits.
#include "control/link_service.h"
#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

#include <algorithm>

namespace marigoldstep::control {

namespace {

// Routers that left still count, since they may have used their part of the retry budget.
constexpr auto router_retention = milliseconds(15'000);
// At most this often, since a fleet that starts grows by one router at a time.
constexpr auto record_interval = milliseconds(1000);

} // namespace

// While routers may still be reconnecting to a process that has just started, the
// recorded number counts. A share of too many routers is safe, one of too few is not.
std::uint32_t link_service::router_count() const {
  const auto heard = static_cast<std::uint32_t>(routers_.size());
  const bool has_heard_all = io::now() - started_at_ > router_retention;
  return has_heard_all ? heard : std::max(heard, group_.state().router_count);
}

// Records the number in the replicated log when it has changed.
void link_service::update_router_count() {
  const auto now = io::now();
  std::erase_if(routers_,
                [&](const auto& it) { return now - it.second > router_retention; });
  const auto count = router_count();
  if (!group_.is_leader() || count == group_.state().router_count ||
      now < next_count_record_) {
    return;
  }
  next_count_record_ = now + record_interval;
  wire::StoreRouterCountT request;
  request.routers = count;
  group_.propose(encode_command(wire::control_frame(request, 0), io::wall_clock()),
                 [count](std::error_code ec, const auto& /*reply*/) {
                   io::log_event(ec ? io::log_level::warning : io::log_level::info,
                                 "router_count_recorded",
                                 {{"routers", std::to_string(count)},
                                  {"result", ec ? ec.message() : "committed"}});
                 });
}

} // namespace marigoldstep::control
