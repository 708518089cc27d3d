#include "marigoldstep.h"
#include "marigoldstep/io/program.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;

namespace {

std::string read_example(const std::string& name) {
  std::error_code ec;
  return io::read_file(std::string(MARIGOLDSTEP_SOURCE_DIR) + "/examples/" + name, ec);
}

std::vector<std::string> list_problems(const std::string& text) {
  yaml_report report{"q", {}};
  parse_questionnaire(text, report);
  std::vector<std::string> out;
  for (const auto& it : report.problems) {
    out.push_back(to_string(it));
  }
  return out;
}

// Returns the template with the first occurrence of from replaced.
std::string replace_in_template(const std::string& from, const std::string& to) {
  std::string text(questionnaire_template());
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

struct invalid_answer_case {
  std::string from;
  std::string to;
  std::string problem;
};

} // namespace

// Guards against a questionnaire whose generated configuration the daemons reject, and
// against a setting that cannot be traced to an answer.
TEST_CASE(
    "every example yields a valid configuration whose settings name their answers") {
  for (const auto& text : {read_example("archive.yaml"), read_example("volta.yaml"),
                           std::string(questionnaire_template())}) {
    yaml_report report{"q", {}};
    const auto answers = parse_questionnaire(text, report);
    const auto generated = generate_configuration(answers);
    CHECK(generated == generate_configuration(answers));
    const auto config = parse_configuration(generated, 1, report);
    for (const auto& it : report.problems) {
      FAIL_CHECK(to_string(it));
    }
    CHECK(config.workspaces.size() == answers.workspaces.size());
    CHECK(config.limits.drain_limit >= answers.patient_deadline);
    for (const auto& it : derive_settings(answers)) {
      CHECK(generated.find(it.value + " # " + it.answer) != std::string::npos);
      CHECK(explain(answers, setting_key(it)).find(it.answer) != std::string::npos);
    }
  }
}

// Guards against a donation or a booking that is repeated, and against one example
// deployment getting the weights of the other.
TEST_CASE("each example deployment gets its own repeat rules and weights") {
  yaml_report report{"q", {}};
  const auto archive = parse_configuration(
      generate_configuration(parse_questionnaire(read_example("archive.yaml"), report)),
      1, report);
  const auto volta = parse_configuration(
      generate_configuration(parse_questionnaire(read_example("volta.yaml"), report)), 1,
      report);
  REQUIRE(report.problems.empty());
  const auto& web = *find_service(archive, "archivo-web");
  CHECK_FALSE(is_repeatable(web, "POST", "/donations"));
  CHECK_FALSE(is_repeatable(web, "POST", "/deposits/7"));
  CHECK(is_repeatable(web, "GET", "/formulas"));
  const auto& booking = *find_service(volta, "booking-svc");
  CHECK_FALSE(is_repeatable(booking, "POST", "/bookings"));
  CHECK(is_repeatable(booking, "GET", "/bookings?day=2"));
  CHECK(archive.limits.reuse_bias > volta.limits.reuse_bias);
  CHECK(find_workspace(archive, "reconstruction")->weight == 12);
  CHECK(find_workspace(archive, "woods")->spread == 4);
  CHECK(find_workspace(volta, "reports")->spread == 0);
}

// Guards against a rule for one path that allows repeats of another path that only
// begins with the same characters.
TEST_CASE("a repeat rule matches whole path segments") {
  service_settings service;
  service.rules = {{"POST", "/bookings", true}};
  CHECK(is_repeatable(service, "POST", "/bookings/7"));
  CHECK_FALSE(is_repeatable(service, "POST", "/bookings-cancel"));
  service.rules.front().repeatable = false;
  service.rules.push_back({"POST", "/", true});
  CHECK_FALSE(is_repeatable(service, "POST", "/bookings-cancel"));
}

// Guards against contradictory answers that reach the fleet, and against messages that
// do not say where the problem is and how to resolve it.
TEST_CASE("invalid or contradictory answers are reported with their line and a remedy") {
  const std::vector<invalid_answer_case> cases = {
      {"fleet: my-fleet", "fleet: my-fleet\nowner: ana", "q:5: owner: unknown key"},
      {"fleet: my-fleet", "fleet: my fleet",
       "q:4: fleet: must have 1 to 64 letters, digits, hyphens or underscores"},
      {"{name: entry-2, zone: zone-b}", "{name: entry-2, zone: zone-x}",
       "q:14: entry_vms[1].zone: the availability zone zone-x is in no region; add it "
       "to regions or correct it"},
      {"  - {name: control-3, zone: zone-c}\n", "",
       "q:19: control_vms: 2 control VMs: there must be 1, 3 or 5, because an even "
       "number survives no more losses than one VM less; add or remove a VM"},
      {"{name: control-2, ", "{name: control-1, ",
       "q:20: control_vms[1].name: the name control-1 is used twice; choose another "
       "one"},
      {"models: [my-model]\n    replicas", "models: []\n    replicas",
       "q:30: pools[0].models: the pool my-pool serves no model; list at least one"},
      {"name: my-service", "name: my-pool",
       "q:37: services[0].name: the name my-pool is used twice; choose another one"},
      {"answer_within_ms: 5000", "answer_within_ms: 2",
       "q:39: services[0].answer_within_ms: must be from 10 to 86400000"},
      {"round_trip_ms: 3", "round_trip_ms: 6000",
       "q:39: services[0].answer_within_ms: is shorter than one round trip between "
       "availability zones; allow more than round_trip_ms"},
      {"service: my-service, call", "service: my-servce, call",
       "q:43: never_repeat[0].service: there is no service my-servce; add it to "
       "services or correct the name"},
      {"POST /orders", "post orders",
       "q:43: never_repeat[0].call: must be a method and a path, such as POST /bookings"},
      {"may_repeat: []", "may_repeat: [{service: my-service, call: POST /orders}]",
       "q:46: may_repeat[0].call: is also under never_repeat; remove it from one of the "
       "two"},
      {"models: [my-model]\n    usual", "models: []\n    usual",
       "q:54: workspaces[0].models: the workspace my-workspace has no model; list at "
       "least one"},
      {"models: [my-model]\n    usual", "models: [other]\n    usual",
       "q:54: workspaces[0].models: no pool serves the model other; add it to a pool or "
       "remove it here"},
      {"patient_ms: 120000", "patient_ms: 9000",
       "q:60: callers_wait.patient_ms: is less than short_ms; patient callers must wait "
       "at least as long"},
      {"what_hurts_more: both", "what_hurts_more: all",
       "q:63: what_hurts_more: must be one of late_answers, rebuilt_caches, both"},
      {"what_hurts_more: both\n", "", "q:4: what_hurts_more: is required"},
      {"replicas: 10", "replicas: 4",
       "q:76: load_multiple: 1.25 cannot be kept by the 4 replicas of the pool my-pool "
       "when one is lost; set it to at least 1.34 or add replicas"},
  };
  for (const auto& it : cases) {
    CHECK(list_problems(replace_in_template(it.from, it.to)).front() == it.problem);
  }
}
