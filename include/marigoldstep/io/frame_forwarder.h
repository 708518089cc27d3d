#pragma once

#include "marigoldstep/io/framed_connection.h"
#include "marigoldstep/types.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <optional>
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
    time_point last_used_at{};
    // When the first frame was sent since anything came back.
    std::optional<time_point> unanswered_since;
    std::uint64_t bytes_received = 0; // when last checked
  };
  // A connection that is no longer used and still has bytes queued.
  struct flushing_connection {
    framed_connection* connection = nullptr;
    time_point deadline{};
  };
  struct incoming_link {
    time_point last_bytes_at{};
    std::uint64_t bytes_received = 0; // when last checked
  };

  void accept(framed_connection* connection);
  void open(const std::string& host, outgoing_link& it);
  // Closes at once, discarding queued frames.
  void close(const std::string& host);
  // Closes after the queued frames; later ones use a new connection.
  void retire(const std::string& host, outgoing_link& it);
  void discard_flushing(const std::string& host);
  void tick();
  void check_outgoing(time_point now);
  void check_incoming(time_point now);

  std::uint16_t port_;
  framed_listener listener_;
  QTimer timer_;
  std::map<std::string, outgoing_link> outgoing_;       // by host
  std::map<std::string, flushing_connection> flushing_; // by host
  std::map<framed_connection*, incoming_link> incoming_;
};

} // namespace marigoldstep::io
