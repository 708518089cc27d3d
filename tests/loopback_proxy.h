#pragma once

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <chrono>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <vector>

// Forwards TCP connections to another address, and can stop doing so without closing
// them, as a network that loses every packet of a connection.
class loopback_proxy : public QObject {
public:
  enum class direction { to_target, to_client, both };

  loopback_proxy(const std::string& host, std::uint16_t port, std::string target_host,
                 std::uint16_t target_port)
      : target_host_(std::move(target_host)), target_port_(target_port) {
    connect(&server_, &QTcpServer::newConnection, this, [this] { accept(); });
    REQUIRE(server_.listen(QHostAddress(QString::fromStdString(host)), port));
  }

  // Open connections carry nothing more in this direction, not even their end. Later ones
  // are not affected.
  void silence(direction lost) {
    for (const auto& it : pairs_) {
      it->loses_to_target = it->loses_to_target || lost != direction::to_client;
      it->loses_to_client = it->loses_to_client || lost != direction::to_target;
    }
  }

  // Later connections open and carry nothing, until this is called with false.
  void silence_new(bool lost) { silences_new_ = lost; }

  // Later connections carry at most n bytes to the target in each interval, and the
  // sender waits.
  void limit_rate(qint64 n, std::chrono::milliseconds interval) {
    max_bytes_ = n;
    // Inherited by accepted connections; otherwise the kernel takes the bytes at once.
    const int buffer_bytes = 8192;
    ::setsockopt(static_cast<int>(server_.socketDescriptor()), SOL_SOCKET, SO_RCVBUF,
                 &buffer_bytes, sizeof(buffer_bytes));
    connect(&pace_, &QTimer::timeout, this, [this] {
      for (const auto& it : pairs_) {
        forward_to_target(*it);
      }
    });
    pace_.start(interval);
  }

  // Connections so far.
  [[nodiscard]] std::size_t accepted() const { return pairs_.size(); }

private:
  struct pair {
    QTcpSocket* client = nullptr;
    QTcpSocket* target = nullptr;
    bool loses_to_target = false;
    bool loses_to_client = false;
  };

  void accept() {
    while (auto* client = server_.nextPendingConnection()) {
      auto it = std::make_shared<pair>();
      it->client = client;
      it->target = new QTcpSocket(this);
      it->loses_to_target = it->loses_to_client = silences_new_;
      client->setParent(this);
      client->setReadBufferSize(max_bytes_);
      pairs_.push_back(it);
      join(it, client, it->target, it->loses_to_target);
      join(it, it->target, client, it->loses_to_client);
      it->target->connectToHost(QString::fromStdString(target_host_), target_port_);
    }
  }

  void join(const std::shared_ptr<pair>& it, QTcpSocket* from, QTcpSocket* to,
            const bool& is_lost) {
    const auto forward = [from, to, &is_lost] {
      const auto buf = from->readAll();
      if (!is_lost) {
        to->write(buf);
      }
    };
    const auto end = [it, forward, to, &is_lost] {
      forward();
      if (!is_lost) {
        to->disconnectFromHost();
      }
    };
    connect(from, &QTcpSocket::readyRead, this, [this, it, from, forward] {
      if (max_bytes_ == 0 || from != it->client) {
        forward();
      }
    });
    connect(from, &QTcpSocket::disconnected, this, end);
    connect(from, &QTcpSocket::errorOccurred, this, end);
  }

  void forward_to_target(pair& it) const {
    const auto buf = it.client->read(max_bytes_);
    if (!it.loses_to_target) {
      it.target->write(buf);
    }
  }

  QTcpServer server_;
  QTimer pace_;
  qint64 max_bytes_ = 0; // in each interval of pace_; 0: not limited
  std::string target_host_;
  std::uint16_t target_port_;
  std::vector<std::shared_ptr<pair>> pairs_;
  bool silences_new_ = false;
};
