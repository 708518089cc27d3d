#pragma once

#include "marigoldstep/types.h"

namespace marigoldstep::fuzz {

// Parses data as the head of a backend server's response and aborts when a check fails:
// a back-off must be within its limit, and a response of another server must carry no
// notices.
void parse_response(byte_view data);

} // namespace marigoldstep::fuzz
