#pragma once

#include "ctl/options.h"

namespace marigoldstep::ctl {

// Commands that send requests to the control group. Each runs an event loop until the
// reply arrives or options.timeout expires.
command_result run_status(const ctl_options& options);
command_result run_propose(const ctl_options& options);
command_result run_diff(const ctl_options& options);
command_result run_approve(const ctl_options& options);
command_result run_stop(const ctl_options& options);
command_result run_history(const ctl_options& options);
command_result run_members(const ctl_options& options);
command_result run_operators(const ctl_options& options);

} // namespace marigoldstep::ctl
