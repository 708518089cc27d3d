#pragma once

#include "marigoldstep/error.h"
#include "marigoldstep/types.h"

#include <string_view>
#include <system_error>

namespace marigoldstep {

// Whether a request ran on a backend server. not_run is only used when it is certain.
enum class verdict { completed, not_run, may_have_run };

// "completed", "not_run" or "may_have_run", as sent to callers.
std::string_view name(verdict value);

// How a request or an attempt ended. retry_after is zero if there is no retry hint.
struct outcome {
  verdict result = verdict::not_run;
  std::error_code error;
  milliseconds retry_after{0};

  friend bool operator==(const outcome&, const outcome&) = default;
};

outcome completed();
outcome not_run(errc code, milliseconds retry_after = milliseconds{0});
outcome may_have_run(errc code, milliseconds retry_after = milliseconds{0});

// Whether sending the same request again is safe: always after not_run, and
// after may_have_run only for repeatable requests.
bool can_retry(const outcome& result, bool repeatable);

} // namespace marigoldstep
