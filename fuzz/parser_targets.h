#pragma once

#include "marigoldstep/types.h"

namespace marigoldstep::fuzz {

// Feed one input to a parser of data from outside the process. They must return
// for every input; what they check beyond that aborts.

// All three kinds of frames between processes. A frame that decodes must encode
// and decode to the same frame again.
void parse_frames(byte_view data);

// Configuration and log lines. A problem must name its line.
void parse_texts(byte_view data);

} // namespace marigoldstep::fuzz
