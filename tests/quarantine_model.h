#pragma once

#include "marigoldstep/io/link_messages.h"
#include "marigoldstep/request_quarantine.h"

#include <catch2/catch.hpp>

// Routers that exchange reports and notices about crashes with a leader.
namespace marigoldstep::test {

inline constexpr std::uint32_t service = 7;
inline constexpr std::uint64_t harmful = 0xbad;
inline constexpr std::uint64_t common = 0xc0;
inline constexpr auto interval = milliseconds(200); // between reports

inline request_trait key(std::uint64_t part) {
  return {trait_kind::prompt_part, service, part};
}

inline request_traits traits_of(const std::vector<std::uint64_t>& shared,
                                std::uint32_t at_service = service) {
  std::vector<prompt_part> prompt;
  for (const auto it : shared) {
    prompt.push_back({it, 100});
  }
  prompt.push_back({0xffff, 50}); // of the request itself
  return make_traits(at_service, prompt, 0);
}

struct quarantine_model {
  std::vector<trait_history> routers;
  request_quarantine leader;
  quarantine_inputs inputs{milliseconds(800), {{service, {1}}}};
  time_point now{milliseconds(1'000'000)};
  std::uint32_t next_server = 1;
  std::vector<quarantine_change> changes;

  explicit quarantine_model(std::size_t n = 3) : routers(n) {}

  static std::uint32_t hash(std::size_t router) {
    return static_cast<std::uint32_t>(router + 1);
  }

  void complete(std::size_t router, const std::vector<std::uint64_t>& shared) {
    record_completed(routers[router], traits_of(shared), now);
  }

  // A server crashes while these prompts run there, each from another router.
  void crash(const std::vector<std::vector<std::uint64_t>>& prompts,
             std::uint32_t version = 1) {
    std::vector<request_traits> running;
    for (const auto& it : prompts) {
      running.push_back(traits_of(it));
    }
    crash_under(running, version);
  }

  void crash_under(const std::vector<request_traits>& running,
                   std::uint32_t version = 1) {
    const auto server = next_server++;
    for (std::size_t i = 0; i < running.size(); ++i) {
      record_crash(routers[(server + i) % routers.size()], running[i],
                   {server, running[i].service, version, now, true});
    }
  }

  // Another process leads from now on.
  void replace_leader() {
    leader = {};
    for (auto& it : routers) {
      repeat_crashes(it);
    }
  }

  // Lets the time pass, with an exchange every interval.
  void run(milliseconds time) {
    const auto until = now + time;
    while (now < until) {
      now += std::min(interval, until - now);
      exchange();
    }
  }

  void exchange() {
    for (std::size_t i = 0; i < routers.size(); ++i) {
      wire::RouterLoadT message;
      io::add_to_wire(message, take_report(routers[i], now), now);
      merge_report(leader, io::trait_report_from_wire(message, now), hash(i), now);
    }
    for (const auto& it : update_quarantine(leader, inputs, now).changes) {
      changes.push_back(it);
    }
    wire::FleetLoadT message;
    io::add_to_wire(message, make_notice(leader));
    for (auto& it : routers) {
      apply_notice(it, io::notice_from_wire(message), now);
    }
  }

  bool is_refused(std::size_t router, const std::vector<std::uint64_t>& shared) {
    return refuses(router, traits_of(shared));
  }

  bool refuses(std::size_t router, const request_traits& traits) {
    return refuse_request(routers[router], traits, hash(router), now).has_value();
  }

  [[nodiscard]] std::set<std::uint64_t> quarantined() const {
    std::set<std::uint64_t> out;
    for (const auto& [trait, it] : leader.entries) {
      out.insert(trait.id);
    }
    return out;
  }

  // Five crashes under the harmful part, half a second apart.
  void quarantine_harmful() {
    for (int i = 0; i < 5; ++i) {
      crash({{common, harmful}});
      complete(0, {common});
      run(milliseconds(500));
    }
    run(milliseconds(1000));
    REQUIRE(quarantined() == std::set{harmful});
  }
};

} // namespace marigoldstep::test
