#include "marigoldstep/routing.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace marigoldstep;

namespace {

route make_route(std::string name, std::string host, std::string prefix) {
  route out;
  out.name = std::move(name);
  out.host = std::move(host);
  out.path_prefix = std::move(prefix);
  out.timeout = milliseconds(1000);
  out.services = {{"a", 1}};
  return out;
}

routing_config make_config() {
  routing_config out;
  out.version = 1;
  out.services = {{"a", 10, {}}, {"b", 10, {}}};
  out.routes = {make_route("r", "x.example", "/p/")};
  out.workspaces = {{"w", {"k1", "k2"}, 3}};
  return out;
}

// Reference implementation: finds the longest prefix by a linear search.
const route* find_route_linear(const routing_config& config, const std::string& host,
                               const std::string& path) {
  const route* best_match = nullptr;
  for (const auto& it : config.routes) {
    if (it.host == host && path.starts_with(it.path_prefix) &&
        (best_match == nullptr ||
         it.path_prefix.size() > best_match->path_prefix.size())) {
      best_match = &it;
    }
  }
  return best_match;
}

} // namespace

TEST_CASE("no problem is found in a valid configuration") {
  CHECK(find_problem(make_config()).empty());
}

TEST_CASE("each kind of invalid configuration is detected") {
  auto config = make_config();
  SECTION("unknown service") {
    config.routes[0].services = {{"c", 1}};
  }
  SECTION("two routes with the same host and path prefix") {
    config.routes.push_back(make_route("other", "X.Example", "/p/"));
  }
  SECTION("only services of weight zero") {
    config.routes[0].services = {{"a", 0}, {"b", 0}};
  }
  SECTION("no services") {
    config.routes[0].services.clear();
  }
  SECTION("no timeout") {
    config.routes[0].timeout = milliseconds(0);
  }
  SECTION("no attempts") {
    config.routes[0].max_attempts = 0;
  }
  SECTION("prefix without a slash") {
    config.routes[0].path_prefix = "/p";
  }
  SECTION("one key of two workspaces") {
    config.workspaces.push_back({"v", {"k2"}, -1});
  }
  SECTION("duplicate service") {
    config.services.push_back({"a", 1, {}});
  }
  CHECK_FALSE(find_problem(config).empty());
}

TEST_CASE("a workspace may list a key twice") {
  auto config = make_config();
  config.workspaces[0].keys.push_back("k1");
  CHECK(find_problem(config).empty());
}

TEST_CASE(
    "route lookup ignores the case and port of the host and the query of the path") {
  const auto table = make_routing_table(make_config());
  CHECK(find_route(*table, "X.EXAMPLE:8080", "/p/q?a=/z/") != nullptr);
  CHECK(find_route(*table, "x.example", "/p") == nullptr);
  CHECK(find_route(*table, "y.example", "/p/") == nullptr);
  CHECK(find_route(*table, "x.example", "/q?a=/p/") == nullptr);
}

TEST_CASE("a workspace is found only by one of its exact keys") {
  const auto table = make_routing_table(make_config());
  REQUIRE(find_workspace(*table, "k2") != nullptr);
  CHECK(find_workspace(*table, "k2")->name == "w");
  CHECK(find_workspace(*table, "") == nullptr);
  CHECK(find_workspace(*table, "k") == nullptr);
}

TEST_CASE("services are picked in proportion to their weights") {
  auto weighted_route = make_route("r", "h", "/");
  weighted_route.services = {{"a", 90}, {"none", 0}, {"b", 10}};
  std::map<std::string, int> counts;
  for (std::uint64_t random_value = 0; random_value < 1000; ++random_value) {
    ++counts[pick_service(weighted_route, random_value)];
  }
  CHECK(counts["a"] == 900);
  CHECK(counts["b"] == 100);
  CHECK(counts["none"] == 0);
}

TEST_CASE("the route with the longest matching path prefix is found") {
  rc::prop("find_route agrees with a linear search", [] {
    const auto segment = rc::gen::element<std::string>("a", "b", "cc");
    const auto generate_path = [&](int max_segments) {
      const auto segments = *rc::gen::resize(
          max_segments, rc::gen::container<std::vector<std::string>>(segment));
      std::string out = "/";
      for (const auto& it : segments) {
        out += it + "/";
      }
      return out;
    };
    routing_config config;
    config.services = {{"a", 1, {}}};
    const auto n = *rc::gen::inRange(0, 12);
    for (int i = 0; i < n; ++i) {
      config.routes.push_back(make_route(
          std::to_string(i), *rc::gen::element<std::string>("h", "i"), generate_path(3)));
    }
    RC_PRE(find_problem(config).empty());
    const auto table = make_routing_table(config);
    const auto path = generate_path(5) + *rc::gen::element<std::string>("", "x");
    const auto* found = find_route(*table, "h", path);
    const auto* expected = find_route_linear(config, "h", path);
    RC_ASSERT((found == nullptr) == (expected == nullptr));
    if (found != nullptr) {
      RC_ASSERT(found->name == expected->name);
    }
  });
}
