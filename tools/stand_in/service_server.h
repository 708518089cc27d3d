#pragma once

#include "stand_in/service_model.h"
#include "stand_in/stand_in_server.h"

namespace marigoldstep::stand_in {

// A plain service, such as a booking service.
class service_server : public stand_in_server {
public:
  service_server(const stand_in_settings& settings, QObject* parent);

  [[nodiscard]] const service_runs& runs() const { return runs_; }

private:
  void handle(const http_call& call, response_writer* writer);

  milliseconds call_duration_;
  service_runs runs_;
};

} // namespace marigoldstep::stand_in
