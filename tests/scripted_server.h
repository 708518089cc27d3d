#pragma once

#include "event_loop.h"
#include "marigoldstep/io/control_client.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <functional>
#include <string>
#include <sys/socket.h>
#include <vector>

// A backend server that sends scripted bytes on its connections.

struct server_step {
  enum class kind { write, pause, close, reset, silence } what = kind::write;
  std::string text;
  int milliseconds = 0;
};

inline server_step write_text(std::string text) {
  return {server_step::kind::write, std::move(text), 0};
}
inline server_step pause_script(int milliseconds) {
  return {server_step::kind::pause, {}, milliseconds};
}
inline server_step close_in_order() {
  return {server_step::kind::close, {}, 0};
}
inline server_step reset_connection() {
  return {server_step::kind::reset, {}, 0};
}

using server_script = std::vector<server_step>;

class scripted_server : public QObject {
public:
  // The n-th request, counted over all connections, is answered by the n-th script;
  // requests after the last script get no response. "{id}" in a text is replaced by the
  // id of the request.
  explicit scripted_server(std::vector<server_script> scripts)
      : scripts_(std::move(scripts)) {
    test_application();
    server_.listen(QHostAddress::LocalHost, 0);
    connect(&server_, &QTcpServer::newConnection, this, [this] { accept(); });
  }

  [[nodiscard]] marigoldstep::io::endpoint address() const {
    return {"127.0.0.1", server_.serverPort()};
  }
  // Makes the script of a request instead, if set.
  std::function<server_script(const std::string& request)> make_script;
  // Complete requests as received, head and body.
  std::vector<std::string> requests;
  // Connections that were closed, by either side.
  int disconnects = 0;

private:
  void accept() {
    while (auto* socket = server_.nextPendingConnection()) {
      connect(socket, &QTcpSocket::readyRead, this, [this, socket] { read(socket); });
      connect(socket, &QTcpSocket::disconnected, this, [this] { ++disconnects; });
      socket->setParent(this);
    }
  }

  static std::size_t body_size(const std::string& head) {
    const std::string field = "Content-Length: ";
    const auto at = head.find(field);
    return at == std::string::npos ? 0 : std::stoul(head.substr(at + field.size()));
  }

  void read(QTcpSocket* socket) {
    auto& input = inputs_[socket];
    input += socket->readAll().toStdString();
    for (auto end = input.find("\r\n\r\n"); end != std::string::npos;
         end = input.find("\r\n\r\n")) {
      const auto size = end + 4 + body_size(input.substr(0, end + 4));
      if (input.size() < size) {
        return;
      }
      requests.push_back(input.substr(0, size));
      input.erase(0, size);
      const auto n = requests.size() - 1;
      if (make_script) {
        scripts_.resize(n);
        scripts_.push_back(make_script(requests[n]));
      }
      if (n < scripts_.size()) {
        run(socket, n, 0);
      }
    }
  }

  std::string insert_request_id(std::string text, std::size_t n) const {
    const std::string field = "Marigoldstep-Request-Id: ";
    const auto& request = requests[n];
    const auto begin = request.find(field);
    if (begin == std::string::npos) {
      return text;
    }
    const auto from = begin + field.size();
    const auto id = request.substr(from, request.find("\r\n", from) - from);
    for (auto at = text.find("{id}"); at != std::string::npos; at = text.find("{id}")) {
      text.replace(at, 4, id);
    }
    return text;
  }

  void run(QTcpSocket* socket, std::size_t n, std::size_t step) {
    while (step < scripts_[n].size()) {
      const auto& it = scripts_[n][step++];
      switch (it.what) {
      case server_step::kind::write:
        socket->write(QByteArray::fromStdString(insert_request_id(it.text, n)));
        socket->flush();
        break;
      case server_step::kind::pause:
        QTimer::singleShot(it.milliseconds, Qt::PreciseTimer, socket,
                           [this, socket, n, step] { run(socket, n, step); });
        return;
      case server_step::kind::close:
        socket->disconnectFromHost();
        return;
      case server_step::kind::reset: {
        const linger send_reset{1, 0};
        ::setsockopt(static_cast<int>(socket->socketDescriptor()), SOL_SOCKET, SO_LINGER,
                     &send_reset, sizeof(send_reset));
        socket->abort();
        return;
      }
      case server_step::kind::silence:
        return;
      }
    }
  }

  std::vector<server_script> scripts_;
  QTcpServer server_;
  std::map<QTcpSocket*, std::string> inputs_;
};
