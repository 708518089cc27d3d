#pragma once

#include "marigoldstep/dispatch.h"
#include "marigoldstep/types.h"

#include <map>
#include <set>
#include <string_view>
#include <vector>

// Quarantine of prompt parts that crash backend servers ("queries of death"). Routers
// record which parts were running on a server that crashed, and which parts are in
// responses that were completed. The leader of the control group combines these records,
// finds the parts that explain the crashes, and has every router refuse requests with
// them. The functions do no I/O.
//
// A part explains a crash if it was running on the server and no response with it has
// been completed since. Most crashes have several such parts, of harmless requests that
// ran beside the harmful one. As in a greedy set cover, the part with the most crashes
// that no other quarantined part explains is taken first.
namespace marigoldstep {

// The crash of one incarnation of a server, for one of the parts that ran there.
struct part_crash {
  std::uint32_t server = 0;  // hash of the server's id and incarnation
  std::uint32_t version = 0; // hash of its software version
  time_point at{};
  bool answering = false; // the response to a request with the part had begun

  friend bool operator==(const part_crash&, const part_crash&) = default;
};

using crashes_by_part = std::map<part_key, std::vector<part_crash>>;

// What a router reports to the leader.
struct part_report {
  crashes_by_part crashes;
  std::map<part_key, time_point> completed; // last response with a watched part
  // Requests refused since the last report, by quarantined part; 0 for a part that is in
  // force here although the leader doesn't list it.
  std::map<part_key, std::uint32_t> refused;

  friend bool operator==(const part_report&, const part_report&) = default;
};

// A quarantined part. One router may let a single request through, which shows whether
// the part still crashes servers.
struct quarantine_probe {
  std::uint32_t router = 0; // hash of its node id; 0: no router may
  std::uint16_t number = 0; // counts the probes of a part

  friend bool operator==(const quarantine_probe&, const quarantine_probe&) = default;
};

// What the leader tells all routers.
struct quarantine_notice {
  std::map<part_key, quarantine_probe> parts;
  std::set<part_key> watched; // parts whose completed responses are to be reported
  std::set<part_key> lifted;  // parts that were quarantined until recently

  friend bool operator==(const quarantine_notice&, const quarantine_notice&) = default;
};

// A router's own records, and the quarantine in force there.
struct part_history {
  crashes_by_part suspects; // crashes since the last completed response with the part
  std::map<part_key, time_point> completed;
  std::map<part_key, std::uint32_t> refused; // since the last report
  std::set<part_key> watched;
  std::map<part_key, time_point> completed_reported_at; // of watched parts
  struct quarantined {
    quarantine_probe probe;
    std::uint16_t used_probe = 0;
    bool is_listed = false; // by the leader's latest notice
    time_point used_at{};   // last notice that lists it, or last refused request
  };
  std::map<part_key, quarantined> quarantine;
  bool has_news = false; // that the leader needs before the next report is due
};

// Records that a request with this prompt was running on a server that crashed.
void record_part_crash(part_history& history, std::uint32_t service,
                       const std::vector<prompt_part>& prompt, const part_crash& crash);

// Records that the response to a request with this prompt was completed.
void record_completed_prompt(part_history& history, std::uint32_t service,
                             const std::vector<prompt_part>& prompt, time_point now);

// The quarantined part of a prompt; unset if the request may be sent. Counts the refused
// request. router: hash of this router's node id; a request that it may send as a probe
// isn't refused.
std::optional<part_key> refuse_prompt(part_history& history, std::uint32_t service,
                                      const std::vector<prompt_part>& prompt,
                                      std::uint32_t router, time_point now);

// Whether refuse_prompt() would refuse the request; counts nothing and uses no probe.
bool is_quarantined(const part_history& history, std::uint32_t service,
                    const std::vector<prompt_part>& prompt);

// Returns the next report; empty if there is nothing to say. Drops outdated records.
part_report take_part_report(part_history& history, time_point now);

void apply_notice(part_history& history, const quarantine_notice& notice, time_point now);

// A part that the leader has quarantined.
struct quarantined_part {
  std::set<std::uint32_t> servers;  // that crashed while the part was running
  std::set<std::uint32_t> causes;   // of these, no other quarantined part explained them
  std::set<std::uint32_t> versions; // of these servers
  bool is_proven = false;           // responses with the part were completed before
  bool is_known = false;            // returned by update_quarantine()
  time_point decided_at{};
  time_point crashed_at{};   // last crash
  time_point requested_at{}; // last request that a router refused
  quarantine_probe probe;
  time_point probe_ends_at{};
  std::vector<time_point> probes; // times of the recent ones
};

// The leader's state.
struct part_quarantine {
  std::map<part_key, std::map<std::uint32_t, part_crash>> suspects; // by server
  std::map<part_key, time_point> completed; // last responses with suspects
  std::map<part_key, time_point> watched;   // since when; only these are quarantined
  std::map<part_key, quarantined_part> parts;
  std::map<part_key, time_point> lifted; // when; earlier crashes don't count any more
  std::map<part_key, std::uint32_t> requested_through; // router that last refused a part
};

// Adds a router's report. router: hash of its node id.
void merge_report(part_quarantine& state, const part_report& report, std::uint32_t router,
                  time_point now);

enum class quarantine_reason {
  crashes,        // servers crashed under the part
  reported,       // routers have it from an earlier leader
  completed,      // a response with the part was completed
  explained,      // another quarantined part explains the crashes
  not_requested,  // no request with it came for a long time
  operator_order, // lifted by the operator
};
std::string_view name(quarantine_reason value);

struct quarantine_change {
  part_key part;
  bool is_quarantined = false; // false: lifted
  quarantine_reason reason = quarantine_reason::crashes;
  std::size_t crashes = 0;
};

struct quarantine_inputs {
  // Time in which routers report a crash, learn that its parts are watched and report
  // their completed responses.
  milliseconds settle_time{800};
  // Hashes of the versions of the servers that take requests, by service.
  std::map<std::uint32_t, std::set<std::uint32_t>> versions;
};

// Quarantines and lifts parts, and chooses routers for probes.
std::vector<quarantine_change> update_quarantine(part_quarantine& state,
                                                 const quarantine_inputs& inputs,
                                                 time_point now);

// Lifts the quarantine of a part. Returns false if it isn't quarantined.
bool lift_quarantine(part_quarantine& state, const part_key& part, time_point now);

quarantine_notice make_notice(const part_quarantine& state);

} // namespace marigoldstep
