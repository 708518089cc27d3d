#pragma once

#include "marigoldstep/crash_table.h"
#include "marigoldstep/request_trait.h"
#include "marigoldstep/trait_history.h"
#include "marigoldstep/types.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

// Quarantine of requests that crash backend servers ("queries of death"). Routers record
// the traits of the requests that were running on a server that crashed, and of those
// whose responses were completed. The leader of the control group combines these records,
// finds the traits that explain the crashes, and has every router refuse requests with
// them. The functions do no I/O.
//
// A trait explains a crash if a request with it was running on the server and no response
// with it has been completed since. Most crashes have several such traits, of harmless
// requests that ran beside the harmful one. As in a greedy set cover, the trait with the
// most crashes that no other quarantined trait explains is taken first. A whole request
// is narrow enough to be judged by its own crashes alone.
namespace marigoldstep {

// Whether a router may send a request with a quarantined trait, and why.
enum class probe_state {
  undecided,
  new_software,  // granted: all servers have other software than those that crashed
  thin_evidence, // granted: few servers crashed
  not_requested, // due, but no router has refused a request yet
  too_early,     // after the decision or the last probe
  used_up,       // the probes of this time, for this software
  certain, // the evidence is certain, and some servers have the software that crashed
};
std::string_view name(probe_state value);

// A trait that the leader has quarantined.
struct quarantined_trait {
  std::set<std::uint32_t> servers; // that crashed while a request with it was running
  std::set<std::uint32_t> causes;  // of these, no other quarantined trait explained them
  // Software versions of these servers by service, as hashes.
  std::map<std::uint32_t, std::set<std::uint32_t>> versions;
  bool is_proven = false; // responses with the trait were completed before
  bool is_known = false;  // returned by update_quarantine()
  time_point decided_at{};
  time_point crashed_at{};         // last crash
  time_point requested_at{};       // last request that a router refused
  std::uint32_t requested_for = 0; // hash of that request's service
  quarantine_probe probe;
  time_point probe_ends_at{};
  std::vector<time_point> probes; // times of the recent ones
  // Software that the latest probe after a change of it was for, and how many it had.
  std::map<std::uint32_t, std::set<std::uint32_t>> probed_versions;
  unsigned version_probes = 0;
  probe_state probing = probe_state::undecided;
};

// The leader's state.
struct request_quarantine {
  crash_table crashes;
  std::map<request_trait, time_point> completed; // last responses with suspects
  std::map<request_trait, time_point> watched;   // since when; only these are quarantined
  std::map<request_trait, quarantined_trait> entries;
  std::map<request_trait, time_point>
      lifted; // when; earlier crashes don't count any more
  // Router that last refused a trait.
  std::map<request_trait, std::uint32_t> requested_through;
};

// Adds a router's report. router: hash of its node id.
void merge_report(request_quarantine& state, const trait_report& report,
                  std::uint32_t router, time_point now);

enum class quarantine_reason {
  crashes,        // servers crashed under requests with the trait
  reported,       // routers have it from an earlier leader
  completed,      // a response with the trait was completed
  explained,      // another quarantined trait explains the crashes
  not_requested,  // no request with it came for a long time
  operator_order, // lifted by the operator
};
std::string_view name(quarantine_reason value);

struct quarantine_change {
  request_trait trait;
  bool is_quarantined = false; // false: lifted
  quarantine_reason reason = quarantine_reason::crashes;
  std::size_t crashes = 0;
};

// Whether a request with the trait may be sent has changed.
struct probe_change {
  request_trait trait;
  probe_state state = probe_state::undecided;
  std::uint32_t router = 0; // that may send it; 0: none
  std::size_t crashes = 0;
};

struct quarantine_update {
  std::vector<quarantine_change> changes;
  std::vector<probe_change> probes;
};

struct quarantine_inputs {
  // Time in which routers report a crash, learn that its traits are watched and report
  // their completed responses.
  milliseconds settle_time{800};
  // Hashes of the versions of the servers that take requests, by service.
  std::map<std::uint32_t, std::set<std::uint32_t>> versions;
};

// Quarantines and lifts traits, and chooses routers for probes.
quarantine_update update_quarantine(request_quarantine& state,
                                    const quarantine_inputs& inputs, time_point now);

// Lifts the quarantine of a trait. Returns false if it isn't quarantined.
bool lift_quarantine(request_quarantine& state, const request_trait& trait,
                     time_point now);

quarantine_notice make_notice(const request_quarantine& state);

} // namespace marigoldstep
