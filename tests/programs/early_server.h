#pragma once

#include "event_loop.h"
#include "marigoldstep/io/control_client.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

// A backend server that responds while a request's body is still being sent, and a caller
// that tells how its connection ended.
namespace marigoldstep::test {

// How a server's connection ends after its response.
enum class connection_end {
  stays_open,
  in_order,  // the server sends no more, and still takes bytes
  reset,     // by the server
  abandoned, // the server closes it with unread bytes, which resets it
};

struct early_response {
  std::string name;
  std::string text; // "{id}" is replaced by the id of the request
  connection_end end = connection_end::stays_open;
  std::string whole_body; // of a response that is whole; empty if it is not
};

// Responses with status 200 that end early, in every framing of a body; head has all
// fields but those of the framing.
inline std::vector<early_response> truncated_responses(const std::string& head,
                                                       const std::string& part) {
  const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
  const auto chunk = size.data() + part + "\r\n";
  const auto short_of_length =
      head + "Content-Length: " + std::to_string(part.size() + 1) + "\r\n\r\n" + part;
  std::vector<early_response> out = {
      {"no length, reset", head + "\r\n" + part, connection_end::reset, {}},
      {"no length, abandoned", head + "\r\n" + part, connection_end::abandoned, {}},
  };
  for (const auto end :
       {connection_end::in_order, connection_end::reset, connection_end::abandoned}) {
    const std::string how = end == connection_end::in_order ? ", closed"
                            : end == connection_end::reset  ? ", reset"
                                                            : ", abandoned";
    out.push_back({"no last chunk" + how, chunked + chunk, end, {}});
    out.push_back({"cut chunk" + how, chunked + chunk + "9\r\npart", end, {}});
    out.push_back({"short of its length" + how, short_of_length, end, {}});
  }
  return out;
}

// Responses without a valid status line; fields follow it.
inline std::vector<early_response> invalid_status_lines(const std::string& fields) {
  std::vector<early_response> out;
  for (const std::string line :
       {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
        "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 -20 OK",
        "HTTP/1.1  200 OK", "HTTP/1.1 OK", "HTTP/1.1", "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK", "HTTP/1.1200 OK", "HTP/1.1 200 OK", "200 OK", ""}) {
    out.push_back({line + ", with a length",
                   line + "\r\n" + fields + "Content-Length: 4\r\n\r\npart",
                   connection_end::stays_open,
                   {}});
    out.push_back({line + ", without a length",
                   line + "\r\n" + fields + "\r\npart",
                   connection_end::in_order,
                   {}});
  }
  return out;
}

// Answers every request with the same response.
class early_server : public QObject {
public:
  early_server() {
    test_application();
    REQUIRE(server_.listen(QHostAddress::LocalHost, 0));
    const int n = receive_buffer_bytes;
    ::setsockopt(static_cast<int>(server_.socketDescriptor()), SOL_SOCKET, SO_RCVBUF, &n,
                 sizeof(n));
    connect(&server_, &QTcpServer::newConnection, this, [this] { accept(); });
  }

  early_response response;
  bool reads_body = true;                  // before it responds
  std::chrono::milliseconds read_pause{0}; // of each connection, at its begin
  int requests = 0;                        // that got a response

  [[nodiscard]] io::endpoint address() const {
    return {"127.0.0.1", server_.serverPort()};
  }

private:
  static constexpr int receive_buffer_bytes = 16 << 10;
  static constexpr qint64 read_ahead_bytes = 16 << 10;
  // So that the response is read before the connection ends.
  static constexpr auto end_delay = std::chrono::milliseconds(40);

  void accept() {
    while (auto* socket = server_.nextPendingConnection()) {
      socket->setParent(this);
      socket->setReadBufferSize(read_ahead_bytes);
      auto input = std::make_shared<std::string>();
      const auto read_input = [this, socket, input] { read(socket, *input); };
      QTimer::singleShot(read_pause, Qt::PreciseTimer, socket, [socket, read_input] {
        connect(socket, &QTcpSocket::readyRead, socket, read_input);
        read_input();
      });
    }
  }

  static std::string field(const std::string& head, const std::string& name) {
    const auto at = head.find(name + ": ");
    if (at == std::string::npos) {
      return {};
    }
    const auto from = at + name.size() + 2;
    return head.substr(from, head.find("\r\n", from) - from);
  }

  void read(QTcpSocket* socket, std::string& input) {
    const bool has_responded = input.find("\r\n\r\n") != std::string::npos && !reads_body;
    if (has_responded) {
      return;
    }
    input += socket->readAll().toStdString();
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    const auto length = field(input.substr(0, end + 2), "Content-Length");
    const auto size = end + 4 + (length.empty() ? 0 : std::stoul(length));
    if (!reads_body || input.size() >= size) {
      respond(socket, field(input, "Marigoldstep-Request-Id"));
      if (reads_body) {
        input.clear();
      }
    }
  }

  void respond(QTcpSocket* socket, const std::string& id) {
    ++requests;
    auto text = response.text;
    if (const auto at = text.find("{id}"); at != std::string::npos) {
      text.replace(at, 4, id);
    }
    socket->write(QByteArray::fromStdString(text));
    socket->flush();
    QTimer::singleShot(end_delay, Qt::PreciseTimer, socket,
                       [socket, how = response.end] { end(socket, how); });
  }

  static void end(QTcpSocket* socket, connection_end how) {
    const int fd = static_cast<int>(socket->socketDescriptor());
    if (how == connection_end::in_order) {
      ::shutdown(fd, SHUT_WR);
    } else if (how == connection_end::reset) {
      const linger reset{1, 0};
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      socket->abort();
    } else if (how == connection_end::abandoned) {
      socket->abort();
    }
  }

  QTcpServer server_;
};

// A caller that is told apart from one whose connection is reset, which Qt does not do.
class raw_caller {
public:
  explicit raw_caller(const io::endpoint& target)
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    ::inet_pton(AF_INET, target.host.c_str(), &address.sin_addr);
    REQUIRE(::connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)) == 0);
  }
  ~raw_caller() { ::close(fd_); }
  raw_caller(const raw_caller&) = delete;
  raw_caller& operator=(const raw_caller&) = delete;

  std::string received;
  bool is_closed = false; // in order
  bool is_reset = false;

  // Sends a request and reads until the response is whole or the connection has ended;
  // false if neither happens in time.
  bool exchange(std::string request) {
    unsent_ = std::move(request);
    return wait_until([this] {
      step();
      return is_closed || is_reset || is_whole();
    });
  }

  // The response's body, without the framing of its chunks.
  [[nodiscard]] std::string body() const {
    const auto end = received.find("\r\n\r\n");
    if (end == std::string::npos) {
      return {};
    }
    if (!is_chunked(received.substr(0, end + 2))) {
      return received.substr(end + 4);
    }
    std::string out;
    for (auto at = end + 4; at < received.size();) {
      const auto line_end = received.find("\r\n", at);
      if (line_end == std::string::npos) {
        break;
      }
      const auto size = std::stoul(received.substr(at, line_end - at), nullptr, 16);
      out += received.substr(line_end + 2, size);
      at = line_end + 2 + size + 2;
    }
    return out;
  }
  [[nodiscard]] unsigned status() const {
    constexpr std::size_t status_at = 9;
    return received.size() < status_at + 3
               ? 0
               : static_cast<unsigned>(std::stoul(received.substr(status_at, 3)));
  }
  // Whether the response looks whole to its caller.
  [[nodiscard]] bool is_whole() const {
    const auto end = received.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    const auto head = received.substr(0, end + 2);
    const std::string length = "\r\nContent-Length: ";
    if (const auto at = head.find(length); at != std::string::npos) {
      return received.size() >= end + 4 + std::stoul(head.substr(at + length.size()));
    }
    if (is_chunked(head)) {
      return received.ends_with("\r\n0\r\n\r\n");
    }
    return is_closed;
  }

private:
  static bool is_chunked(const std::string& head) {
    return head.find("\r\nTransfer-Encoding: chunked\r\n") != std::string::npos;
  }

  void step() {
    constexpr std::size_t buffer_bytes = 64U << 10U;
    std::string buf(buffer_bytes, '\0');
    while (!unsent_.empty()) {
      const auto n =
          ::send(fd_, unsent_.data(), unsent_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      if (n <= 0) {
        break;
      }
      unsent_.erase(0, static_cast<std::size_t>(n));
    }
    while (!is_closed && !is_reset) {
      const auto n = ::recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
      if (n > 0) {
        received.append(buf, 0, static_cast<std::size_t>(n));
      } else if (n == 0) {
        is_closed = true;
      } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
        return;
      } else {
        is_reset = true;
      }
    }
  }

  int fd_;
  std::string unsent_;
};

} // namespace marigoldstep::test
