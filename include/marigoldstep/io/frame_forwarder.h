#pragma once

#include "marigoldstep/io/framed_connection.h"
#include "marigoldstep/types.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace marigoldstep::io {

// Forwards frames between routers, so that each frame crosses the slow links of the
// control processes only a few times. A frame that cannot be delivered is dropped; its
// origin notices the missing acknowledgement.
class frame_forwarder : public QObject {
public:
  // port: where every router listens, this one included.
  frame_forwarder(std::uint16_t port, QObject* parent);

  // A frame forwarded by another router. The view is valid during the call only.
  std::function<void(byte_view)> on_frame;

  std::error_code listen(const std::string& host);
  void send(const std::vector<std::string>& hosts, const bytes& frame);

private:
  struct outgoing_link {
    framed_connection* connection = nullptr;
    std::vector<bytes> pending; // sent once the connection is open
    time_point last_sent_at{};
  };

  void accept(framed_connection* connection);
  void open(const std::string& host, outgoing_link& it);
  void close(const std::string& host);
  void close_idle();

  std::uint16_t port_;
  framed_listener listener_;
  QTimer timer_;
  std::map<std::string, outgoing_link> outgoing_;     // by host
  std::map<framed_connection*, time_point> incoming_; // time of the last frame
};

} // namespace marigoldstep::io
