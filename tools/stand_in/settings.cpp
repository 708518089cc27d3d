#include "stand_in/settings.h"

namespace marigoldstep::stand_in {

namespace {

constexpr auto one_minute = milliseconds(60'000);

void parse_engine(yaml_mapping& map, stand_in_settings& out) {
  auto& engine = out.engine;
  out.models = read_strings(map, "models");
  engine.slots =
      static_cast<std::uint32_t>(read_integer(map, "slots", engine.slots, 1, 4096));
  engine.tokens_per_second =
      read_number(map, "tokens_per_second", engine.tokens_per_second, 0.1, 1e6);
  engine.slowdown_per_request =
      read_number(map, "slowdown_per_request", engine.slowdown_per_request, 0, 10);
  engine.prefill_tokens_per_second = read_number(
      map, "prefill_tokens_per_second", engine.prefill_tokens_per_second, 1, 1e9);
  engine.cache_tokens = static_cast<std::uint64_t>(read_integer(
      map, "cache_tokens", static_cast<std::int64_t>(engine.cache_tokens), 0, 1LL << 40));
  out.tick =
      read_duration_ms(map, "tick_ms", out.tick, milliseconds(1), milliseconds(1000));
  out.load_lag =
      read_duration_ms(map, "load_lag_ms", out.load_lag, milliseconds(0), one_minute);
  out.event_delay = read_duration_ms(map, "event_delay_ms", out.event_delay,
                                     milliseconds(0), one_minute);
  out.event_loss = read_number(map, "event_loss", out.event_loss, 0, 1);
  out.checks_fencing = read_bool(map, "checks_fencing", out.checks_fencing);
}

} // namespace

stand_in_settings parse_stand_in_settings(yaml_mapping& map) {
  stand_in_settings out;
  out.node_id = read_string(map, "node_id");
  const auto listen = read_string(map, "listen");
  out.listen = io::parse_endpoint(listen);
  if (has_key(map, "listen") && out.listen.host.empty()) {
    add_problem(map, "listen", "must be host:port");
  }
  out.log_level = io::parse_log_level(
      read_choice(map, "log_level", "info", {"debug", "info", "warning", "error"}));
  out.log_file = read_string(map, "log_file", "");
  const auto mode = read_choice(map, "mode", "engine", {"engine", "service"});
  if (mode == "engine") {
    parse_engine(map, out);
    return out;
  }
  out.mode = stand_in_mode::service;
  out.call_duration =
      read_duration_ms(map, "work_ms", out.call_duration, milliseconds(0), one_minute);
  return out;
}

} // namespace marigoldstep::stand_in
