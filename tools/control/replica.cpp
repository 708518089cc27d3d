#include "control/replica.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/program.h"

namespace marigoldstep::control {

namespace {

wire::ControlFrameT bootstrap_change(wire::ChangeKind kind, const std::string& text) {
  wire::ChangeRequestT body;
  body.kind = kind;
  body.change_id = "bootstrap";
  body.author = "bootstrap";
  body.base_version = 0;
  body.text = text;
  return wire::control_frame(std::move(body), 0);
}

} // namespace

std::vector<bytes> bootstrap_commands(const std::string& text, unix_seconds time) {
  return {encode_command(bootstrap_change(wire::ChangeKind::propose, text), time),
          encode_command(bootstrap_change(wire::ChangeKind::approve, ""), time)};
}

replica::replica(control_settings settings, QObject* parent)
    : QObject(parent), settings_(std::move(settings)) {}

void replica::start(std::error_code& ec) {
  ec.clear();
  bootstrap();
}

void replica::bootstrap() {
  std::error_code ec;
  const auto text = io::read_file(settings_.bootstrap_configuration, ec);
  if (ec) {
    return;
  }
  for (auto& it : bootstrap_commands(text, io::wall_clock())) {
    propose(std::move(it), [](std::error_code, const wire::ControlBodyUnion&) {});
  }
  if (state_.accepted_version == 0) {
    state_.accepted_version = 1;
    state_.accepted_text = text;
  }
}

void replica::propose(bytes command, propose_callback done) {
  ++commit_index_;
  done({}, apply_command(state_, command));
}

void replica::confirm(confirm_callback done) {
  done({});
}

} // namespace marigoldstep::control
