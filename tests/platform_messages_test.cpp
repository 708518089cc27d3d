#include "platform/messages.h"

#include "marigoldstep/server_notice.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace marigoldstep;
using platform::control_operation;

namespace {

io::http_head make_head(std::vector<io::http_field> fields) {
  io::http_head out;
  out.method = "POST";
  out.target = "/p/q";
  out.fields = std::move(fields);
  return out;
}

const std::string valid_routing = R"({
  "version": 7,
  "routes": [
    {"name": "r1", "host": "h", "path_prefix": "/a/", "type": "streaming",
     "timeout_ms": 15000, "target_latency_ms": 800, "priority": 1, "max_attempts": 2,
     "backends": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
     "public": false, "sticky": true, "can_resume": true, "target_gap_ms": 500},
    {"name": "r2", "host": "h", "path_prefix": "/b/", "type": "unsafe",
     "timeout_ms": 1500, "service": "t", "future": {"x": 1}}],
  "services": [
    {"name": "s", "max_conns": 360, "engine": {"slots": 64, "kv_capacity_tokens": 5000}},
    {"name": "t"}],
  "limits": {"header_bytes": 100, "body_bytes": 200, "header_timeout_ms": 300,
             "idle_timeout_ms": 400},
  "tenants": [{"name": "w", "api_keys": ["k"], "priority": 2}, {"name": "v", "api_keys": []}]
})";

std::string replace_once(std::string text, const std::string& from,
                         const std::string& to) {
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

const std::string valid_heartbeat =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":6,)"
    R"("state":"ready","warmup_left_ms":5,"seq":4,"born":1700000000123})";

} // namespace

TEST_CASE("a routing configuration is parsed completely") {
  std::string problem;
  const auto config = platform::parse_routing_config(valid_routing, problem);
  REQUIRE(problem.empty());
  CHECK(find_problem(config).empty());
  CHECK(config.version == 7);
  REQUIRE(config.routes.size() == 2);
  const auto& stream = config.routes[0];
  CHECK(stream.kind == route_kind::resumable_stream);
  CHECK(stream.timeout == milliseconds(15'000));
  CHECK(stream.latency_objective == milliseconds(800));
  CHECK(stream.max_event_gap == milliseconds(500));
  CHECK(stream.max_attempts == 2);
  CHECK(stream.has_prompts);
  CHECK(stream.services == std::vector<weighted_service>{{"s", 90}, {"t", 10}});
  CHECK(config.routes[1].kind == route_kind::once);
  CHECK(config.routes[1].services == std::vector<weighted_service>{{"t", 1}});
  CHECK(config.services[0].batch == batch_limits{64, 5000});
  CHECK(config.limits == caller_limits{100, 200, milliseconds(300), milliseconds(400)});
  CHECK(config.workspaces[0] == routed_workspace{"w", {"k"}, 2});
  CHECK(config.workspaces[1].priority == -1);
}

// Guards against a configuration whose last workspace is taken away, which opened every
// route to everybody (ROUTE).
TEST_CASE("a configuration with a list of workspaces requires keys, also an empty one") {
  const std::string list =
      R"([{"name": "w", "api_keys": ["k"], "priority": 2}, {"name": "v", "api_keys": []}])";
  const auto requires_keys = [](const std::string& text) {
    std::string problem;
    const auto config = platform::parse_routing_config(text, problem);
    CHECK(problem.empty());
    return config.requires_keys;
  };
  CHECK(requires_keys(valid_routing));
  CHECK(requires_keys(replace_once(valid_routing, list, "[]")));
  CHECK_FALSE(requires_keys(replace_once(valid_routing, list, "null")));
  CHECK_FALSE(requires_keys(replace_once(valid_routing, "tenants", "other")));
}

TEST_CASE("requests of an unknown route type are not retried") {
  std::string problem;
  const auto config = platform::parse_routing_config(
      replace_once(valid_routing, "\"unsafe\"", "\"something new\""), problem);
  CHECK(problem.empty());
  CHECK(config.routes[1].kind == route_kind::once);
}

TEST_CASE("an incomplete or malformed routing configuration is rejected") {
  const auto text = GENERATE(
      std::string(), std::string("null"), std::string("[]"),
      valid_routing.substr(0, valid_routing.size() / 2),
      replace_once(valid_routing, "\"version\": 7", "\"version\": \"7\""),
      replace_once(valid_routing, "\"version\": 7", "\"version\": -1"),
      replace_once(valid_routing, "\"version\": 7,", ""),
      replace_once(valid_routing, "\"timeout_ms\": 1500", "\"timeout_ms\": null"),
      replace_once(valid_routing, "\"weight\": 90", "\"weight\": \"90\""),
      replace_once(valid_routing, "\"host\": \"h\"", "\"host\": 5"),
      replace_once(valid_routing, "[\"k\"]", "[1]"),
      replace_once(valid_routing, "\"public\": false", "\"public\": \"no\""),
      std::string(R"({"version": 1, "services": []})"),
      std::string(R"({"version": 1, "routes": [5], "services": []})"));
  std::string problem;
  const auto config = platform::parse_routing_config(text, problem);
  CHECK_FALSE(problem.empty());
  CHECK(config == routing_config());
}

TEST_CASE("a valid heartbeat is parsed and an invalid one is rejected") {
  const auto server = platform::parse_heartbeat("i-1", valid_heartbeat);
  REQUIRE(server);
  CHECK(server->id == "i-1");
  CHECK(server->started == 1'700'000'000'123);
  CHECK(server->sequence == 4);
  CHECK(server->host == "10.0.0.9");
  CHECK(server->port == 80);
  CHECK(server->state == announced_state::ready);
  CHECK(server->warmup_left == milliseconds(5));
  CHECK(server->version == "v1");
  const auto invalid = GENERATE(
      std::string("{"), std::string("5"), std::string("{}"),
      replace_once(valid_heartbeat, "\"ready\"", "\"sleeping\""),
      replace_once(valid_heartbeat, "\"v1\"", "1"),
      replace_once(valid_heartbeat, "\"v1\"", "\"" + std::string(129, 'v') + "\""),
      replace_once(valid_heartbeat, "\"10.0.0.9:80\"", "\"10.0.0.9\""),
      replace_once(valid_heartbeat, "\"10.0.0.9:80\"", "7"),
      replace_once(valid_heartbeat, "\"seq\":4", "\"seq\":\"4\""),
      replace_once(valid_heartbeat, "\"slots\":6", "\"slots\":null"),
      replace_once(valid_heartbeat, "\"service\":\"s\"", "\"service\":[]"),
      replace_once(valid_heartbeat, "1700000000123", "\"soon\""));
  CHECK_FALSE(platform::parse_heartbeat("i-1", invalid));
  CHECK_FALSE(platform::parse_heartbeat("", valid_heartbeat));
}

TEST_CASE("a deregistration needs no body") {
  const auto server = platform::parse_deregistration("i-1", "");
  CHECK(server.id == "i-1");
  CHECK(server.state == announced_state::gone);
  CHECK(server.started == 0);
  CHECK(platform::parse_deregistration("i-1", R"({"born":12})").started == 12);
}

TEST_CASE("control requests are distinguished by method and path") {
  const auto parse = [](const std::string& method, const std::string& target) {
    io::http_head head;
    head.method = method;
    head.target = target;
    return platform::parse_control_request(head);
  };
  CHECK(parse("POST", "/v1/Replicas.Heartbeat/i-1").operation ==
        control_operation::heartbeat);
  CHECK(parse("POST", "/v1/Replicas.Heartbeat/i-1").server_id == "i-1");
  CHECK(parse("POST", "/v1/Replicas.Deregister/i-2").operation ==
        control_operation::deregister);
  CHECK(parse("POST", "/v1/Config.Replace").operation ==
        control_operation::store_routing);
  CHECK(parse("GET", "/v1/Config.Read?x=1").operation == control_operation::read_routing);
  CHECK(parse("GET", "/v1/Config.Replace").operation == control_operation::unknown);
  CHECK(parse("POST", "/v1/Evacuations.Start/z-1").operation ==
        control_operation::start_evacuation);
  CHECK(parse("POST", "/v1/Evacuations.Finish/z-1?x=1").operation ==
        control_operation::end_evacuation);
  CHECK(parse("POST", "/v1/Evacuations.Start/z-1").zone == "z-1");
  CHECK(parse("GET", "/v1/Evacuations.Start/z-1").operation ==
        control_operation::unknown);
  CHECK(parse("POST", "/elsewhere").operation == control_operation::unknown);
}

// Guards against cold servers that get all requests because their limit was misread, and
// against a limit that nobody asked for.
TEST_CASE("a service may name how many requests a cold server takes") {
  std::string problem;
  const auto parse = [&](const std::string& fields) {
    return platform::parse_routing_config(
        replace_once(valid_routing, R"("name": "s",)", R"("name": "s",)" + fields),
        problem);
  };
  auto config = parse(R"("warmup_s": 2.5, "warmup_per_s": 14.0,)");
  REQUIRE(problem.empty());
  CHECK(config.services[0].cold_requests_per_s == 14);
  CHECK(config.services[0].warmup_time == milliseconds(2500));
  CHECK(config.services[1].cold_requests_per_s == 0);
  CHECK(config.services[1].warmup_time == milliseconds(0));
  config = parse(R"("warmup_s": null, "warmup_per_s": 0,)");
  CHECK(problem.empty());
  CHECK(config.services[0].cold_requests_per_s == 0);
  for (const std::string bad : {"-1", "1e9", "\"14\"", "[]"}) {
    parse(R"("warmup_per_s": )" + bad + ",");
    CHECK(problem.find("warmup_per_s") != std::string::npos);
    parse(R"("warmup_s": )" + bad + ",");
    CHECK(problem.find("warmup_s") != std::string::npos);
  }
}

TEST_CASE("a caller's request head is parsed and malformed headers are ignored") {
  const auto metadata = platform::parse_request_head(
      make_head({{"Marigoldstep-Request-Id", "9c41"},
                 {"authorization", "bearer KEY"},
                 {"Marigoldstep-Deadline-Ms", "15000.5"},
                 {"Marigoldstep-Token-Usage", "1460,80"},
                 {"Marigoldstep-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
                 {"Last-Event-Id", "12"}}));
  CHECK(metadata.request_id == "9c41");
  CHECK(metadata.key == "KEY");
  CHECK(metadata.deadline == milliseconds(15'000));
  CHECK(metadata.prompt_tokens == 1460);
  CHECK(metadata.max_response_tokens == 80);
  CHECK(metadata.prompt ==
        std::vector<prompt_part>{{0x5c1e07a2, 800}, {0x91bd3f06, 410}});
  CHECK(metadata.last_event == 12);

  const auto malformed =
      platform::parse_request_head(make_head({{"Marigoldstep-Request-Id", "a b"},
                                              {"Authorization", "Basic KEY"},
                                              {"Marigoldstep-Deadline-Ms", "soon"},
                                              {"Marigoldstep-Prompt-Prefix", "x:1,5:y"},
                                              {"Last-Event-Id", "-1"}}));
  CHECK(malformed.request_id.empty());
  CHECK(malformed.key.empty());
  CHECK_FALSE(malformed.deadline);
  CHECK(malformed.prompt.empty());
  CHECK_FALSE(malformed.last_event);
}

TEST_CASE("a backend request forwards the caller's headers except hop-by-hop and "
          "reserved ones") {
  auto head = make_head({{"Host", "h"},
                         {"Connection", "close, X-Hop"},
                         {"X-Hop", "1"},
                         {"Authorization", "Bearer KEY"},
                         {"Marigoldstep-Tenant", "forged"},
                         {"Marigoldstep-Target-Instance", "forged"},
                         {"Marigoldstep-Kv-Hold", "forged"},
                         {"Marigoldstep-Kv-Backup", "forged"},
                         {"Kv-From", "forged"},
                         {"Marigoldstep-Pin-Ms", "9"},
                         {"Marigoldstep-Request-Priority", "0"},
                         {"Marigoldstep-Deadline-Ms", "99999"},
                         {"Content-Length", "4"},
                         {"X-Own", "kept"}});
  head.length = 4;
  platform::attempt_fields fields;
  fields.server_id = "i-1";
  fields.workspace = "w";
  fields.time_left = milliseconds(750);
  const auto text = platform::make_backend_request(head, 4, fields);
  CHECK(text.starts_with("POST /p/q HTTP/1.1\r\nHost: h\r\n"));
  CHECK(text.ends_with("Content-Length: 4\r\n\r\n"));
  CHECK(text.find("X-Own: kept\r\n") != std::string::npos);
  CHECK(text.find("Marigoldstep-Tenant: w\r\n") != std::string::npos);
  CHECK(text.find("Marigoldstep-Target-Instance: i-1\r\n") != std::string::npos);
  CHECK(text.find("Marigoldstep-Deadline-Ms: 750\r\n") != std::string::npos);
  for (const auto* absent :
       {"forged", "KEY", "X-Hop", "Connection", "99999", "Pin-Ms", "Request-Priority"}) {
    CHECK(text.find(absent) == std::string::npos);
  }
}

TEST_CASE("a backend request names the server to copy the prompt cache from") {
  platform::attempt_fields fields;
  fields.copy_from = "10.0.0.9:80";
  const auto text = platform::make_backend_request(make_head({}), 0, fields);
  CHECK(text.find("Kv-Fetch: 10.0.0.9:80\r\n") != std::string::npos);
}

TEST_CASE("a resumed stream replaces the caller's Last-Event-Id") {
  const auto head = make_head({{"Last-Event-Id", "3"}});
  platform::attempt_fields fields;
  CHECK(platform::make_backend_request(head, 0, fields).find("Last-Event-Id: 3\r\n") !=
        std::string::npos);
  fields.last_event = 8;
  const auto text = platform::make_backend_request(head, 0, fields);
  CHECK(text.find("Last-Event-Id: 8\r\n") != std::string::npos);
  CHECK(text.find("Last-Event-Id: 3\r\n") == std::string::npos);
}

TEST_CASE("the run status and the server's load are parsed from a response head") {
  auto head = make_head({{"Marigoldstep-Request-Id", "9c41"},
                         {"Marigoldstep-Response-Seal", "s"},
                         {"Marigoldstep-Replica-Load", "3,2,8"},
                         {"Keep-Alive", "timeout=5, max=100"}});
  head.status = 200;
  const auto metadata = platform::parse_response_head(head);
  CHECK(metadata.request_id == "9c41");
  CHECK(metadata.is_signed);
  CHECK_FALSE(metadata.not_run);
  CHECK(metadata.load == 5U);
  CHECK(metadata.idle_timeout == milliseconds(5000));

  auto refused = make_head({{"Marigoldstep-Not-Executed", "1"}});
  refused.status = 503;
  CHECK(platform::parse_response_head(refused).not_run);
  auto misdirected = make_head({});
  misdirected.status = 421;
  CHECK(platform::parse_response_head(misdirected).wrong_server);
  CHECK(platform::parse_response_head(misdirected).not_run);
  auto failed = make_head({});
  failed.status = 503;
  CHECK_FALSE(platform::parse_response_head(failed).not_run);
}

TEST_CASE("Retry-After is given in seconds with three decimals") {
  CHECK(platform::make_retry_after_field(milliseconds(1250)) ==
        io::http_field{"Retry-After", "1.250"});
}

// A server that says it is leaving, or that it wants no requests for a while, must be
// understood whatever else its response holds.
TEST_CASE("a server's notices are parsed from a response head") {
  auto leaving = make_head({{"Server-Leaving", "1"}});
  leaving.status = 200;
  CHECK(platform::parse_response_head(leaving).leaving);
  leaving.status = 500;
  CHECK(platform::parse_response_head(leaving).leaving);
  const auto backoff = [](const std::string& value) {
    auto head = make_head({{"Retry-After", value}});
    head.status = 503;
    return platform::parse_response_head(head);
  };
  CHECK(backoff("2").backoff == milliseconds(2000));
  CHECK(backoff(" 0.25 ").backoff == milliseconds(250));
  CHECK(backoff("0.0001").backoff == milliseconds(1));
  CHECK(backoff("2").problem.empty());
  auto not_refused = make_head({{"Retry-After", "2"}});
  not_refused.status = 500;
  CHECK_FALSE(platform::parse_response_head(not_refused).backoff);
}

// Garbage in these headers must neither exclude a server nor pass without a log line.
TEST_CASE("unusable values of a server's notices are ignored with a reason") {
  const auto value = GENERATE(as<std::string>(), "", "-1", "-0.5", "soon", "nan", "inf",
                              "1e3", "0x5", "1,5", "2 s", "\x01\xff",
                              "Fri, 04 Dec 2026 05:00:00 GMT", std::string(100, 'x'));
  CAPTURE(value);
  auto head = make_head({{"Retry-After", value}, {"Server-Leaving", value}});
  head.status = 503;
  const auto metadata = platform::parse_response_head(head);
  CHECK_FALSE(metadata.backoff);
  CHECK_FALSE(metadata.leaving);
  CHECK_FALSE(metadata.problem.empty());
  CHECK(metadata.problem.size() < 120);
  CHECK(std::all_of(metadata.problem.begin(), metadata.problem.end(),
                    [](char c) { return c >= ' ' && c <= '~'; }));
}

TEST_CASE("a huge back-off is limited with a reason, and zero is none") {
  for (const std::string value : {"86400", "999999999999999999999999"}) {
    auto head = make_head({{"Retry-After", value}});
    head.status = 503;
    const auto metadata = platform::parse_response_head(head);
    CHECK(metadata.backoff == max_server_backoff);
    CHECK_FALSE(metadata.problem.empty());
  }
  auto zero = make_head({{"Retry-After", "0"}});
  zero.status = 503;
  CHECK_FALSE(platform::parse_response_head(zero).backoff);
  CHECK(platform::parse_response_head(zero).problem.empty());
}

// The response of another server at the address must not exclude the one that was meant.
TEST_CASE("a misdirected response carries no notices") {
  auto head = make_head({{"Retry-After", "5"}, {"Server-Leaving", "1"}});
  head.status = 421;
  const auto metadata = platform::parse_response_head(head);
  CHECK_FALSE(metadata.leaving);
  CHECK_FALSE(metadata.backoff);
}
