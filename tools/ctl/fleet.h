#pragma once

#include "ctl/options.h"

namespace marigoldstep::ctl {

// Commands that ask the control group. They run an event loop until the answer or
// the time limit.
command_result run_status(const ctl_options& options);
command_result run_propose(const ctl_options& options);
command_result run_diff(const ctl_options& options);
command_result run_approve(const ctl_options& options);
command_result run_stop(const ctl_options& options);
command_result run_history(const ctl_options& options);
command_result run_members(const ctl_options& options);
command_result run_operators(const ctl_options& options);

} // namespace marigoldstep::ctl
