#pragma once

#include "marigoldstep/io/backend_connection.h"

#include <QObject>

#include <map>
#include <string_view>
#include <vector>

namespace marigoldstep::io {

// Keeps idle connections to backend servers.
class backend_pool : public QObject {
public:
  explicit backend_pool(QObject* parent);

  milliseconds connect_timeout{400};

  // Returns an idle connection that its server keeps open for at least another second
  // and that hasn't carried a request with this id, or a new one.
  backend_connection* acquire(const endpoint& target, std::string_view request_id);
  // Returns a new connection.
  backend_connection* open(const endpoint& target, std::string_view request_id);
  // Returns a connection to the pool after a complete response. The server keeps it
  // open for idle_timeout; at most max_idle connections are kept per server.
  void release(backend_connection* connection, milliseconds idle_timeout,
               std::size_t max_idle);
  void discard(backend_connection* connection);
  // Closes the idle connections to a server that left.
  void close_idle(const endpoint& target);

  [[nodiscard]] std::uint64_t connects() const { return connect_count_; }

private:
  struct idle_connection {
    backend_connection* connection = nullptr;
    time_point usable_until{};
  };

  void expire();
  void remove_idle(backend_connection* connection);

  std::map<endpoint, std::vector<idle_connection>> idle_;
  std::uint64_t connect_count_ = 0;
};

} // namespace marigoldstep::io
