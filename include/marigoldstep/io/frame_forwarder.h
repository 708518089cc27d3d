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

// Passes frames on between routers, so that the thin links of control processes
// carry each only a few times. A frame that can't be delivered is dropped: its
// sender finds out by the missing acknowledgement.
class frame_forwarder : public QObject {
public:
  // Other routers listen on the same port.
  frame_forwarder(std::uint16_t port, QObject* parent);

  // A frame that another router passed on. The view ends with the call.
  std::function<void(byte_view)> on_frame;

  std::error_code listen(const std::string& host);
  void send(const std::vector<std::string>& hosts, const bytes& frame);

private:
  struct outgoing_link {
    framed_connection* connection = nullptr;
    std::vector<bytes> pending; // until it is open
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
  std::map<framed_connection*, time_point> incoming_; // when last heard
};

} // namespace marigoldstep::io
