#pragma once

#include "stand_in/response.h"

#include <QByteArray>

#include <map>

namespace marigoldstep::stand_in {

// Counts of the calls that ran, to detect duplicate runs.
struct service_runs {
  std::map<std::string, std::uint32_t> by_key;
  std::map<std::uint64_t, std::uint32_t> by_body; // by hash of path and body
  std::uint64_t total = 0;

  friend bool operator==(const service_runs&, const service_runs&) = default;
};

// Runs a call: counts it unless its method is GET or HEAD, and returns the response body.
QByteArray run_call(service_runs& runs, const service_call& call);

// Renders all counts as JSON, or only those of key if it is not empty.
QByteArray render_runs(const service_runs& runs, const std::string& key);

// Hash under which run_call counts a body.
std::uint64_t body_hash(const service_call& call);

} // namespace marigoldstep::stand_in
