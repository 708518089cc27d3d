#pragma once

#include "ctl/options.h"

namespace marigoldstep::ctl {

// why REQUEST_ID LOG...: the decision lines of one request, from all logs.
command_result run_why(const ctl_options& options);

// report LOG... -o FILE: one HTML page for the time the logs cover.
command_result run_report(const ctl_options& options);

} // namespace marigoldstep::ctl
