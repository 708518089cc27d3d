#pragma once

#include "marigoldstep/crash_table.h"
#include "marigoldstep/request_trait.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

// A router's records of crashes and completed responses by the traits of requests, and
// the quarantine that the leader of the control group has put in force. The functions do
// no I/O.
namespace marigoldstep {

// Requests with a trait that were refused.
struct refused_requests {
  std::uint32_t count = 0;
  std::uint32_t service = 0; // hash of the service that the last one was for
  std::uint16_t probes = 0;  // number of the latest probe that the router knows

  friend bool operator==(const refused_requests&, const refused_requests&) = default;
};

// What a router reports to the leader.
struct trait_report {
  std::map<request_trait, std::vector<server_crash>> crashes; // not reported before
  std::map<request_trait, time_point> completed; // last response with a watched trait
  // Since the last report, by quarantined trait; a count of 0 for a trait that is in
  // force here although the leader doesn't list it.
  std::map<request_trait, refused_requests> refused;

  friend bool operator==(const trait_report&, const trait_report&) = default;
};

// One router may let a single request with a quarantined trait through, which shows
// whether it still crashes servers.
struct quarantine_probe {
  std::uint32_t router = 0; // hash of its node id; 0: no router may
  std::uint16_t number = 0; // counts the probes of a trait

  friend bool operator==(const quarantine_probe&, const quarantine_probe&) = default;
};

// What the leader tells all routers.
struct quarantine_notice {
  std::map<request_trait, quarantine_probe> quarantined;
  std::set<request_trait> watched; // whose completed responses are to be reported
  std::set<request_trait> lifted;  // quarantined until recently

  friend bool operator==(const quarantine_notice&, const quarantine_notice&) = default;
};

// The last time of each trait, for the traits used most recently. Holds up to twice
// max_size entries: a full generation becomes the older one, and the one before is
// dropped.
struct recent_times {
  using times = std::unordered_map<request_trait, time_point, request_trait_hash>;
  times newer;
  times older;
  std::size_t max_size = 8192;
};
void record_time(recent_times& times, const request_trait& trait, time_point at);
std::optional<time_point> find_time(const recent_times& times,
                                    const request_trait& trait);

// A quarantined trait at a router.
struct router_quarantine {
  quarantine_probe probe;
  std::uint16_t used_probe = 0;
  bool is_listed = false; // by the leader's latest notice
  time_point listed_at{}; // last notice that lists it
  time_point used_at{};   // the same, or last refused request
};

struct trait_history {
  crash_table crashes; // since the last completed response with the trait
  std::vector<std::pair<request_trait, server_crash>> unreported;
  recent_times completed;
  std::map<request_trait, refused_requests> refused; // since the last report
  std::set<request_trait> watched;
  std::map<request_trait, time_point> completed_reported_at; // of watched traits
  std::map<request_trait, router_quarantine> quarantine;
  bool has_news = false; // that the leader needs before the next report is due
};

// Records that a request was running on a server that crashed.
void record_crash(trait_history& history, const request_traits& traits,
                  const server_crash& crash);

// Records that the response to a request was completed.
void record_completed(trait_history& history, const request_traits& traits,
                      time_point now);

// The quarantined trait of a request; unset if the request may be sent. Counts the
// refused request. router: hash of this router's node id; a request that it may send as a
// probe isn't refused.
std::optional<request_trait> refuse_request(trait_history& history,
                                            const request_traits& traits,
                                            std::uint32_t router, time_point now);

// Whether refuse_request() would refuse the request; counts nothing and uses no probe.
bool is_quarantined(const trait_history& history, const request_traits& traits);

// Returns the next report; empty if there is nothing to say. Drops outdated records.
trait_report take_report(trait_history& history, time_point now);

// Has all crashes reported once more, for a leader that may not know them.
void repeat_crashes(trait_history& history);

void apply_notice(trait_history& history, const quarantine_notice& notice,
                  time_point now);

} // namespace marigoldstep
