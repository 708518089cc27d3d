#pragma once

#include "marigoldstep/io/control_links.h"
#include "marigoldstep/io/http_connection.h"

#include <QPointer>

namespace marigoldstep::gateway {

// Answers reads of the routing configuration that control processes redirect here
// because their links are too slow for the text. Returns the text only once the leader
// has confirmed that this router holds the newest version, and one text at a time, to
// bound the memory and the bandwidth that reads take from callers.
class routing_reader {
public:
  explicit routing_reader(io::control_links& links) : links_(links) {}

  void handle_read(io::http_connection& from);

private:
  [[nodiscard]] bool is_busy() const;

  io::control_links& links_;
  QPointer<io::http_connection> reader_; // of the latest text
  time_point started_at_{};
};

} // namespace marigoldstep::gateway
