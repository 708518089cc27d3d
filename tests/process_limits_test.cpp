#include "marigoldstep/io/process_limits.h"

#include <catch2/catch.hpp>

using namespace marigoldstep;

namespace {

io::process_limits parse(const std::string& text, yaml_report& report) {
  auto map = parse_yaml(text, report);
  auto out = io::read_process_limits(map);
  report_unknown_keys(map);
  return out;
}

} // namespace

// Guards against a process that takes more than its machine has because nobody set it.
TEST_CASE("the limits of a process default to those of the machine") {
  yaml_report report;
  const auto limits = parse("{}", report);
  CHECK(report.problems.empty());
  CHECK(limits.memory_bytes > 0);
}

TEST_CASE("the limits of a process are read from its settings") {
  yaml_report report;
  CHECK(parse("memory_mb: 112\nmax_fds: 2870\n", report) ==
        io::process_limits{112U << 20U, 2870});
  CHECK(parse("memory_mb: 0\nmax_fds: 0\n", report) == io::process_limits{0, 0});
  CHECK(report.problems.empty());
}

// Guards against a mistyped limit that is taken for none.
TEST_CASE("limits of a process that are no numbers or out of range are reported") {
  const auto* const text =
      GENERATE("memory_mb: -1\n", "memory_mb: lots\n", "memory_mb: 99999999\n",
               "max_fds: -5\n", "max_fds: 1.5\n", "max_fds: 99999999999\n");
  yaml_report report;
  parse(text, report);
  CHECK(report.problems.size() == 1);
}
