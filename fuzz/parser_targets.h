#pragma once

#include "marigoldstep/types.h"

namespace marigoldstep::fuzz {

// Fuzz targets for the parsers of untrusted input. They must return for every input and
// abort when a check fails.

// Decodes data as a data, control and Raft frame. A frame that decodes must survive
// another encode and decode unchanged.
void parse_frames(byte_view data);

// Parses data as a configuration, as log lines and as an attempt id. Each problem
// reported for a configuration must have a text and a valid line number.
void parse_texts(byte_view data);

} // namespace marigoldstep::fuzz
