#pragma once

#include <QByteArray>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace marigoldstep::stand_in {

// An order to an engine: load_model, load_adapter, set_version or set_role.
struct engine_order {
  std::string kind;
  std::string argument;
  std::uint64_t fencing = 0;

  friend bool operator==(const engine_order&, const engine_order&) = default;
};

// State of an engine that orders change.
struct engine_order_state {
  bool checks_fencing = true;
  std::uint64_t highest_fencing = 0;
  std::set<std::string> models;
  std::set<std::string> adapters;
  std::string version = "1";
  std::string role = "serve";
  std::vector<engine_order> applied;
};

enum class order_result { applied, stale_fencing, malformed };

// Applies an order from POST /admin/orders. An engine that does not check fencing tokens
// also applies stale orders.
order_result apply_order(engine_order_state& state, const QByteArray& body);

QByteArray render_orders(const engine_order_state& state);

} // namespace marigoldstep::stand_in
