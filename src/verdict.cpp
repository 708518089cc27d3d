#include "marigoldstep/verdict.h"

namespace marigoldstep {

std::string_view name(verdict value) {
  switch (value) {
  case verdict::completed:
    return "completed";
  case verdict::not_run:
    return "not_run";
  case verdict::may_have_run:
    return "may_have_run";
  }
  return "may_have_run";
}

outcome completed() {
  return {verdict::completed, {}, milliseconds{0}};
}

outcome not_run(errc code, milliseconds retry_after) {
  return {verdict::not_run, make_error_code(code), retry_after};
}

outcome may_have_run(errc code, milliseconds retry_after) {
  return {verdict::may_have_run, make_error_code(code), retry_after};
}

bool can_retry(const outcome& result, bool repeatable) {
  if (result.result == verdict::not_run) {
    return true;
  }
  return result.result == verdict::may_have_run && repeatable;
}

} // namespace marigoldstep
