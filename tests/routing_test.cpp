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
  out.timeout = duration(1000);
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

// The longest prefix, found by looking at every route.
const route* find_slowly(const routing_config& config, const std::string& host,
                         const std::string& path) {
  const route* best = nullptr;
  for (const auto& it : config.routes) {
    if (it.host == host && path.starts_with(it.path_prefix) &&
        (best == nullptr || it.path_prefix.size() > best->path_prefix.size())) {
      best = &it;
    }
  }
  return best;
}

} // namespace

TEST_CASE("a usable configuration has no problem") {
  CHECK(find_problem(make_config()).empty());
}

TEST_CASE("every way to be unusable is found") {
  auto config = make_config();
  SECTION("unknown service") {
    config.routes[0].services = {{"c", 1}};
  }
  SECTION("same place") {
    config.routes.push_back(make_route("other", "X.Example", "/p/"));
  }
  SECTION("no weight") {
    config.routes[0].services = {{"a", 0}, {"b", 0}};
  }
  SECTION("no services") {
    config.routes[0].services.clear();
  }
  SECTION("no timeout") {
    config.routes[0].timeout = duration(0);
  }
  SECTION("no attempts") {
    config.routes[0].max_attempts = 0;
  }
  SECTION("prefix without a slash") {
    config.routes[0].path_prefix = "/p";
  }
  SECTION("shared key") {
    config.workspaces.push_back({"v", {"k2"}, -1});
  }
  SECTION("service twice") {
    config.services.push_back({"a", 1, {}});
  }
  CHECK_FALSE(find_problem(config).empty());
}

TEST_CASE("a workspace may list a key twice") {
  auto config = make_config();
  config.workspaces[0].keys.push_back("k1");
  CHECK(find_problem(config).empty());
}

TEST_CASE("hosts are found in any case and with a port, paths without a query") {
  const auto table = make_routing_table(make_config());
  CHECK(find_route(*table, "X.EXAMPLE:8080", "/p/q?a=/z/") != nullptr);
  CHECK(find_route(*table, "x.example", "/p") == nullptr);
  CHECK(find_route(*table, "y.example", "/p/") == nullptr);
  CHECK(find_route(*table, "x.example", "/q?a=/p/") == nullptr);
}

TEST_CASE("a key belongs to one workspace") {
  const auto table = make_routing_table(make_config());
  REQUIRE(find_workspace(*table, "k2") != nullptr);
  CHECK(find_workspace(*table, "k2")->name == "w");
  CHECK(find_workspace(*table, "") == nullptr);
  CHECK(find_workspace(*table, "k") == nullptr);
}

TEST_CASE("services are picked in proportion to their weights") {
  auto entry = make_route("r", "h", "/");
  entry.services = {{"a", 90}, {"none", 0}, {"b", 10}};
  std::map<std::string, int> counts;
  for (std::uint64_t ticket = 0; ticket < 1000; ++ticket) {
    ++counts[pick_service(entry, ticket)];
  }
  CHECK(counts["a"] == 900);
  CHECK(counts["b"] == 100);
  CHECK(counts["none"] == 0);
}

TEST_CASE("the longest prefix wins, as a plain search finds it") {
  rc::prop("find_route agrees with a search through all routes", [] {
    const auto segment = rc::gen::element<std::string>("a", "b", "cc");
    const auto path_of = [&](int most) {
      const auto parts =
          *rc::gen::resize(most, rc::gen::container<std::vector<std::string>>(segment));
      std::string out = "/";
      for (const auto& it : parts) {
        out += it + "/";
      }
      return out;
    };
    routing_config config;
    config.services = {{"a", 1, {}}};
    const auto n = *rc::gen::inRange(0, 12);
    for (int i = 0; i < n; ++i) {
      config.routes.push_back(make_route(
          std::to_string(i), *rc::gen::element<std::string>("h", "i"), path_of(3)));
    }
    RC_PRE(find_problem(config).empty());
    const auto table = make_routing_table(config);
    const auto path = path_of(5) + *rc::gen::element<std::string>("", "x");
    const auto* found = find_route(*table, "h", path);
    const auto* expected = find_slowly(config, "h", path);
    RC_ASSERT((found == nullptr) == (expected == nullptr));
    if (found != nullptr) {
      RC_ASSERT(found->name == expected->name);
    }
  });
}
