#pragma once

#include "marigoldstep/operators.h"

namespace marigoldstep::control {

// Whether a request may be taken. Requests that need no operator always may.
bool is_authorized(const operator_table& operators, const wire::ControlFrameT& request);

// The reply to a request that is not authorized.
wire::ControlFrameT refusal_of(const wire::ControlFrameT& request);

} // namespace marigoldstep::control
