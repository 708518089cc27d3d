#include "marigoldstep/server_notice.h"

#include <algorithm>

namespace marigoldstep {

namespace {

// Starts an empty notice when a later incarnation speaks. Returns false for an earlier
// one.
bool select_incarnation(server_notice& notice, incarnation started) {
  if (started > notice.started) {
    notice = {started, false, {}, false};
  }
  return started == notice.started;
}

} // namespace

std::string_view name(server_admission value) {
  switch (value) {
  case server_admission::open:
    return "open";
  case server_admission::probe:
    return "probe";
  case server_admission::backing_off:
    return "backing_off";
  case server_admission::leaving:
    return "leaving";
  }
  return "leaving";
}

bool record_leaving(server_notice& notice, incarnation started) {
  if (!select_incarnation(notice, started) || notice.leaving) {
    return false;
  }
  notice.leaving = true;
  return true;
}

bool record_backoff(server_notice& notice, incarnation started, milliseconds delay,
                    time_point now) {
  if (delay <= milliseconds(0) || !select_incarnation(notice, started)) {
    return false;
  }
  const auto until = now + std::min(delay, max_server_backoff);
  notice.unconfirmed = true;
  if (until <= notice.backoff_until) {
    return false;
  }
  notice.backoff_until = until;
  return true;
}

void record_accepted(server_notice& notice, incarnation started, time_point now) {
  // Responses to requests sent before the back-off prove nothing about later ones.
  if (started == notice.started && now >= notice.backoff_until) {
    notice.unconfirmed = false;
  }
}

server_admission admission(const server_notice& notice, incarnation started,
                           time_point now) {
  if (notice.started != started) {
    return server_admission::open;
  }
  if (notice.leaving) {
    return server_admission::leaving;
  }
  if (now < notice.backoff_until) {
    return server_admission::backing_off;
  }
  return notice.unconfirmed ? server_admission::probe : server_admission::open;
}

} // namespace marigoldstep
