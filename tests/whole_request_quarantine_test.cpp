#include "quarantine_model.h"

using namespace marigoldstep;
using namespace marigoldstep::test;

namespace {

constexpr std::uint64_t harmful_request = 0xdead;
constexpr std::uint64_t popular_request = 0xa11;

// A request of a plain service.
request_traits plain(std::uint64_t fingerprint, std::uint32_t at_service = service) {
  return make_traits(at_service, {}, fingerprint);
}

// A chat whose prompt shares these parts with others.
request_traits chat(std::uint64_t fingerprint, const std::vector<std::uint64_t>& shared) {
  auto out = traits_of(shared);
  out.list.push_back({trait_kind::whole_request, 0, fingerprint});
  return out;
}

request_trait whole(std::uint64_t fingerprint) {
  return {trait_kind::whole_request, 0, fingerprint};
}

struct request_model : quarantine_model {
  std::uint64_t next_request = 1'000'000;

  request_traits unique() { return plain(next_request++); }

  [[nodiscard]] bool is_quarantined(const request_trait& trait) const {
    return leader.entries.contains(trait);
  }
};

} // namespace

TEST_CASE("three crashes under one request have it refused everywhere, others not") {
  request_model it;
  for (int i = 0; i < 3; ++i) {
    it.crash_under({plain(harmful_request), it.unique(), it.unique()});
    it.run(milliseconds(i == 0 ? 20 : 3000));
  }
  for (std::size_t i = 0; i < it.routers.size(); ++i) {
    CHECK(it.refuses(i, plain(harmful_request)));
    CHECK(it.refuses(i, plain(harmful_request, service + 1)));
    CHECK_FALSE(it.refuses(i, plain(harmful_request + 1)));
    CHECK_FALSE(it.refuses(i, it.unique()));
  }
  CHECK(it.leader.entries.size() == 1);
}

TEST_CASE("a new leader counts the crashes that routers reported to the one before") {
  request_model it;
  for (int i = 0; i < 2; ++i) {
    it.crash_under({plain(harmful_request), it.unique()});
    it.run(milliseconds(1000));
  }
  it.replace_leader();
  it.crash_under({plain(harmful_request)});
  it.run(milliseconds(1400));
  CHECK(it.is_quarantined(whole(harmful_request)));
}

TEST_CASE("two harmful requests at once are both found") {
  request_model it;
  for (int i = 0; i < 3; ++i) {
    it.crash_under({plain(harmful_request), plain(harmful_request + 1), it.unique()});
    it.run(milliseconds(100));
  }
  it.run(milliseconds(1300));
  CHECK(it.is_quarantined(whole(harmful_request)));
  CHECK(it.is_quarantined(whole(harmful_request + 1)));
  CHECK(it.leader.entries.size() == 2);
}

TEST_CASE("a popular request that dies beside a harmful one stays in use") {
  request_model it;
  record_completed(it.routers[0], plain(popular_request), it.now);
  it.run(milliseconds(1000));
  // All servers end in each wave, and nothing is completed between the waves.
  for (int wave = 0; wave < 3; ++wave) {
    for (int i = 0; i < 4; ++i) {
      it.crash_under({plain(harmful_request), plain(popular_request), it.unique()});
      it.run(milliseconds(100));
    }
    it.run(milliseconds(3000));
  }
  CHECK(it.is_quarantined(whole(harmful_request)));
  CHECK_FALSE(it.is_quarantined(whole(popular_request)));
}

TEST_CASE("a request that was sound before is refused once it crashes servers") {
  request_model it;
  record_completed(it.routers[0], plain(harmful_request), it.now);
  for (int i = 0; i < 5; ++i) {
    it.crash_under({plain(harmful_request), it.unique()});
    it.run(milliseconds(700));
  }
  it.run(milliseconds(1400));
  CHECK(it.is_quarantined(whole(harmful_request)));
}

TEST_CASE("a harmful chat doesn't have the parts of its prompt refused") {
  request_model it;
  const bool is_part_new = GENERATE(true, false);
  if (!is_part_new) {
    it.complete(0, {common, 11});
    it.run(milliseconds(5000));
  }
  for (int i = 0; i < 12; ++i) {
    it.crash_under({chat(harmful_request, {common, 11})});
    it.run(milliseconds(400));
  }
  CHECK(it.is_quarantined(whole(harmful_request)));
  CHECK(it.leader.entries.size() == 1);
}

// Each caller repeats its own request, which alone would explain its crashes.
TEST_CASE("a harmful part is found although its requests are repeated") {
  request_model it;
  const bool was_sound = GENERATE(true, false);
  if (was_sound) {
    it.complete(0, {common, harmful});
  }
  int crashes = 0;
  for (std::uint64_t i = 0; i < 40 && !it.is_quarantined(key(harmful)); ++i) {
    for (int n = 0; n < 3; ++n, ++crashes) {
      it.crash_under({chat(harmful_request + i, {common, harmful})});
      it.complete(1, {common});
      it.run(milliseconds(200));
    }
    it.run(milliseconds(1000));
  }
  CHECK(it.is_quarantined(key(harmful)));
  CHECK_FALSE(it.is_quarantined(key(common)));
  CHECK(crashes <= (was_sound ? 15 : 9));
}

TEST_CASE("requests that are sent again while servers end by chance stay in use") {
  request_model it;
  for (int i = 0; i < 20; ++i) {
    const auto request = it.unique();
    it.crash_under({request, it.unique()});
    it.run(milliseconds(80));
    it.crash_under({request}); // the second attempt
    it.run(milliseconds(500));
  }
  CHECK(it.leader.entries.empty());
}

TEST_CASE("a request is let through once its service has other software") {
  request_model it;
  it.inputs.versions = {{service, {1}}, {service + 1, {1}}};
  for (int i = 0; i < 5; ++i) {
    it.crash_under({plain(harmful_request)});
    it.run(milliseconds(400));
  }
  it.run(milliseconds(1000));
  REQUIRE(it.refuses(1, plain(harmful_request)));
  SECTION("as the leader saw the crashes") {}
  SECTION("as a later leader heard of the quarantine") {
    it.run(milliseconds(70'000));
    it.replace_leader();
    CHECK(it.refuses(1, plain(harmful_request)));
    it.run(2 * interval);
  }
  it.inputs.versions[service + 1] = {2};
  it.run(2 * interval);
  CHECK(it.refuses(1, plain(harmful_request)));
  it.inputs.versions[service] = {2};
  it.run(2 * interval);
  CHECK_FALSE(it.refuses(1, plain(harmful_request)));
  record_completed(it.routers[1], plain(harmful_request), it.now);
  it.run(2 * interval);
  CHECK(it.leader.entries.empty());
}

// Each probe may crash a server, and a request may be sent three more times at most.
TEST_CASE("leaders together let no more than two probes through in ten minutes") {
  request_model it;
  for (int i = 0; i < 3; ++i) {
    it.crash_under({plain(harmful_request)});
    it.run(milliseconds(400));
  }
  it.run(milliseconds(1000));
  int sent = 0;
  for (int i = 0; i < 500; ++i) {
    if (i % 100 == 90) {
      it.replace_leader();
    }
    it.run(milliseconds(1000));
    if (!it.refuses(1, plain(harmful_request))) {
      ++sent;
      it.crash_under({plain(harmful_request)});
    }
  }
  CHECK(sent == 2);
  CHECK(it.is_quarantined(whole(harmful_request)));
}

// Guards against a request that stays out although it is sound under the new software,
// since thin evidence has used up the probes of ten minutes before.
TEST_CASE("a change of software allows a probe, however many came before") {
  request_model it;
  for (int i = 0; i < 3; ++i) {
    it.crash_under({plain(harmful_request)});
    it.run(milliseconds(400));
  }
  int sent = 0;
  const auto send_for = [&](milliseconds time, std::uint32_t version, bool is_harmful) {
    for (const auto until = it.now + time; it.now < until;) {
      it.run(milliseconds(400));
      if (it.refuses(1, plain(harmful_request))) {
        continue;
      }
      ++sent;
      if (is_harmful) {
        it.crash_under({plain(harmful_request)}, version);
      } else {
        record_completed(it.routers[1], plain(harmful_request), it.now);
        it.run(2 * interval);
        return;
      }
    }
  };
  send_for(milliseconds(31'000), 1, true);
  REQUIRE(sent == 2);
  it.inputs.versions[service] = {1, 2};
  send_for(milliseconds(3000), 1, true);
  CHECK(sent == 2);
  it.inputs.versions[service] = {2};
  SECTION("sound again") {
    const auto changed_at = it.now;
    send_for(milliseconds(30'000), 2, false);
    CHECK(it.leader.entries.empty());
    CHECK(it.now - changed_at <= milliseconds(5000));
  }
  SECTION("as harmful as before") {
    send_for(milliseconds(60'000), 2, true);
    CHECK(sent == 3);
    it.inputs.versions[service] = {3};
    send_for(milliseconds(60'000), 3, true);
    CHECK(sent == 4);
    CHECK(it.is_quarantined(whole(harmful_request)));
  }
}

TEST_CASE("a router that was paused doesn't use a probe that it was given before") {
  request_model it;
  for (int i = 0; i < 5; ++i) {
    it.crash_under({plain(harmful_request)});
    it.run(milliseconds(400));
  }
  it.run(milliseconds(1000));
  REQUIRE(it.refuses(1, plain(harmful_request)));
  it.inputs.versions[service] = {2};
  it.run(2 * interval);
  it.now += milliseconds(3000);
  CHECK(it.refuses(1, plain(harmful_request)));
}

TEST_CASE("a prompt part with the id of a request's fingerprint doesn't clear it") {
  request_model it;
  for (int i = 0; i < 4; ++i) {
    it.crash_under({plain(harmful_request)});
    it.complete(0, {harmful_request});
    it.run(milliseconds(400));
  }
  it.run(milliseconds(1000));
  CHECK(it.is_quarantined(whole(harmful_request)));
  CHECK_FALSE(it.is_refused(0, {harmful_request}));
}

// A full table once took no new suspects, so the harmful one was never reported.
TEST_CASE("a request that crashes servers is found among thousands that come once") {
  request_model it;
  const auto crash_beside = [&](int n, bool with_harmful) {
    std::vector<request_traits> running;
    for (int i = 0; i < n; ++i) {
      running.push_back(it.unique());
    }
    if (with_harmful) {
      running.push_back(plain(harmful_request));
    }
    it.crash_under(running);
  };
  for (int i = 0; i < 100; ++i) {
    crash_beside(300, false);
  }
  for (int i = 0; i < 3; ++i) {
    it.run(milliseconds(1000));
    crash_beside(300, true);
  }
  it.run(milliseconds(2000));
  CHECK(it.is_quarantined(whole(harmful_request)));
  CHECK(it.leader.entries.size() == 1);
  for (const auto& router : it.routers) {
    CHECK(router.crashes.suspects.size() <= router.crashes.max_suspects);
  }
}
