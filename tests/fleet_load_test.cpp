#include "marigoldstep/fleet_load.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <numeric>

using namespace marigoldstep;

namespace {

constexpr std::uint32_t engines = 1;
constexpr std::uint32_t plain = 2;
const time_point start{milliseconds(100'000)};

using loads = std::map<std::uint32_t, load_count>;
using services = std::map<std::uint32_t, std::uint32_t>;

std::map<part_key, double> to_map(const std::vector<std::pair<part_key, double>>& list) {
  return {list.begin(), list.end()};
}

} // namespace

// Plain services spread requests by exact loads, so a mean of theirs would not do.
TEST_CASE("small services are listed whole beside a large one") {
  loads load;
  services service;
  for (std::uint32_t i = 0; i < 1000; ++i) {
    service[i] = engines;
    load[i] = {i % 10, 0};
  }
  load[500] = {90, 7};
  for (std::uint32_t i = 2000; i < 2006; ++i) {
    service[i] = plain;
  }
  load[2003] = {1, 0};
  const auto digest = make_load_digest(load, service, 100);
  CHECK(digest.servers.size() == 106);
  CHECK(find_load(digest, 500, engines) == load_count{90, 7});
  CHECK(find_load(digest, 2003, plain).requests == 1);
  CHECK(find_load(digest, 2004, plain).requests == 0);
  CHECK(digest.rest_requests.size() == 1);
  CHECK(digest.rest_requests.at(engines) == Approx(4).epsilon(0.2));
  CHECK(find_load(digest, 3, engines).requests == 4);
}

// The load bound compares with the mean, so a digest that changed it would move the
// bound of all routers.
TEST_CASE("a digest keeps the mean load and never lists a server below the rest") {
  CHECK(rc::check("mean and order", [] {
    const auto n = *rc::gen::inRange<std::uint32_t>(1, 400);
    const auto listed = *rc::gen::inRange<std::size_t>(0, 300);
    loads load;
    services service;
    double sum = 0;
    for (std::uint32_t i = 0; i < n; ++i) {
      service[i] = engines;
      load[i].requests = *rc::gen::inRange<std::uint32_t>(0, 50);
      sum += load[i].requests;
    }
    const auto digest = make_load_digest(load, service, listed);
    double told = 0;
    for (const auto& [server, it] : digest.servers) {
      RC_ASSERT(it == load.at(server));
      told += it.requests;
    }
    const auto rest = digest.rest_requests.find(engines);
    if (rest != digest.rest_requests.end()) {
      told += rest->second * static_cast<double>(n - digest.servers.size());
      for (const auto& [server, it] : load) {
        const bool is_listed = digest.servers.contains(server);
        RC_ASSERT(is_listed || std::all_of(digest.servers.begin(), digest.servers.end(),
                                           [&](const auto& other) {
                                             return other.second.requests >= it.requests;
                                           }));
      }
    }
    RC_ASSERT(std::abs(told - sum) < 0.001 * (1 + sum));
  }));
}

// Each router alone sees too few requests for a part to notice that it is in demand.
TEST_CASE("a part in demand is found from the requests of many routers") {
  part_demand demand;
  for (std::uint64_t router = 0; router < 60; ++router) {
    std::map<part_key, std::uint32_t> requests;
    requests[{engines, router}] = 1;
    if (router % 3 == 0) {
      requests[{engines, 777}] = 1;
    }
    add_part_requests(demand, requests, start + milliseconds(router));
  }
  const auto now = start + milliseconds(60);
  const auto popular = to_map(find_popular_parts(demand, now));
  CHECK(popular.size() == 1);
  CHECK(popular.at({engines, 777}) == Approx(0.25).epsilon(0.05));
  CHECK(find_popular_parts(demand, now + milliseconds(2000)).empty());
  CHECK(demand.services.at(engines).size() < 60);
  find_popular_parts(demand, now + milliseconds(10'000));
  CHECK(demand.services.empty());
}

// A service with few requests must not count as popular among those of a larger one,
// nor the other way round.
TEST_CASE("shares are counted within a service") {
  part_demand demand;
  add_part_requests(demand, {{{engines, 1}, 90}, {{engines, 2}, 10}, {{plain, 1}, 5}},
                    start);
  const auto popular = to_map(find_popular_parts(demand, start));
  CHECK(popular.at({engines, 1}) == Approx(0.9));
  CHECK(popular.at({engines, 2}) == Approx(0.1));
  CHECK(popular.at({plain, 1}) == Approx(1.0));
}
