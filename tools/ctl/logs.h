#pragma once

#include "ctl/options.h"

namespace marigoldstep::ctl {

// why REQUEST_ID LOG...: prints the logged decisions about one request.
command_result run_why(const ctl_options& options);

// report LOG... -o FILE: writes one HTML page about the time range of the logs.
command_result run_report(const ctl_options& options);

} // namespace marigoldstep::ctl
