#pragma once

#include "marigoldstep/request_quarantine.h"

#include <cstdint>
#include <vector>

// Probes of quarantined requests: one request that a router may send to find out whether
// servers still crash under it.
namespace marigoldstep::detail {

// Ends a probe whose time is over, and grants the router that asked for the trait last a
// new one if it is due. Appends what was decided to changes, if that is new.
void choose_probe(request_quarantine& state, const request_trait& trait,
                  quarantined_trait& entry, const quarantine_inputs& inputs,
                  time_point now, std::vector<probe_change>& changes);

// A new leader doesn't know which versions crashed; the present ones are taken for them.
void adopt_versions(quarantined_trait& entry, const quarantine_inputs& inputs);

// An earlier leader's probes count as well; when they were is not known.
void adopt_probes(quarantined_trait& entry, std::uint16_t number, time_point now);

} // namespace marigoldstep::detail
