#include "marigoldstep/io/logging.h"
#include "marigoldstep/report.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace marigoldstep;

namespace {

const std::string time_prefix = "time=2026-01-31T12:00:";

log_record parse_line(const std::string& line) {
  const auto record = parse_log_record(line);
  REQUIRE(record);
  return *record;
}

} // namespace

// Guards against a value with spaces or quotes that shifts the fields after it.
TEST_CASE("a formatted log line is parsed to the same values") {
  CHECK(rc::check("any value", [](const std::string& text) {
    // Control characters are replaced when a value is formatted.
    std::string clean;
    for (const unsigned char c : text) {
      clean += c < ' ' || c == 0x7f ? '?' : static_cast<char>(c);
    }
    const auto line = time_prefix + "00.000001Z level=info program=p node=n event=e a=" +
                      io::format_log_value(clean) + " b=2";
    const auto record = parse_log_record(line);
    RC_ASSERT(record.has_value());
    RC_ASSERT(field(*record, "a") == clean);
    RC_ASSERT(number_field(*record, "b") == 2);
  }));
  CHECK(format_time(parse_line(time_prefix + "07.250000Z event=e").time) ==
        "2026-01-31T12:00:07.250Z");
}

// Guards against a line truncated by a crash that is taken for a complete one.
TEST_CASE("truncated lines and lines of other formats are skipped and counted") {
  std::size_t skipped = 0;
  const auto records =
      parse_log(time_prefix + "00.000Z level=info event=e a=\"open\nhello\n" +
                    time_prefix + "01.000Z event=e a=1\n",
                skipped);
  CHECK(records.size() == 1);
  CHECK(skipped == 2);
}

// Guards against an explanation that contains decisions of other requests.
TEST_CASE("the decisions of a request are listed in the order of time") {
  std::size_t skipped = 0;
  const auto records =
      parse_log(time_prefix +
                    "02.000Z program=mstep-agent node=a1 event=decision request_id=x "
                    "kind=admit chosen=a1\n" +
                    time_prefix +
                    "01.000Z program=mstep-router node=r1 event=decision "
                    "request_id=x kind=route chosen=a1\n" +
                    time_prefix +
                    "01.500Z program=mstep-router node=r1 event=decision "
                    "request_id=y kind=route chosen=a2\n",
                skipped);
  const auto text = explain_request(records, "x");
  CHECK(text.find("kind=route") < text.find("kind=admit"));
  CHECK(text.find("a2") == std::string::npos);
  CHECK(explain_request(records, "z").empty());
}

// Guards against wrong sums, and against a workspace's name that is inserted into the
// HTML as markup.
TEST_CASE("a report aggregates the summary lines") {
  std::size_t skipped = 0;
  const auto records = parse_log(
      time_prefix +
          "00.000Z node=a1 event=agent_summary service=p load=6 prompt_tokens=100 "
          "cached_tokens=40\n" +
          time_prefix +
          "01.000Z node=a2 event=agent_summary service=p load=2 prompt_tokens=100 "
          "cached_tokens=20\n" +
          time_prefix +
          "02.000Z node=r1 event=router_summary control_bytes=5000 "
          "interval_ms=5000\n" +
          time_prefix +
          "02.000Z node=r1 event=workspace_summary workspace=<b> completed=3 "
          "not_run=1\n" +
          time_prefix + "03.000Z node=r2 event=configuration_applied version=4\n" +
          time_prefix + "02.500Z node=r1 event=configuration_applied version=4\n",
      skipped);
  const auto data = build_report(records, "test", {});
  REQUIRE(data.cache_reuse.size() == 1);
  CHECK(data.cache_reuse[0].value == Approx(0.3));
  CHECK(data.skew.at(0).value == Approx(1.5));
  CHECK(data.control_bytes.at(0).value == Approx(1000));
  CHECK(data.outcomes.at("<b>") == workspace_outcomes{3, 1, 0});
  REQUIRE(data.changes.size() == 1);
  CHECK(data.changes[0].time == records[5].time);
  const auto html = render_report(data);
  CHECK(html.find("<td><b>") == std::string::npos);
  CHECK(html.find("&lt;b&gt;") != std::string::npos);
}
