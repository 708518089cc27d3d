#pragma once

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <memory>
#include <string>
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
      pairs_.push_back(it);
      join(it, client, it->target, it->loses_to_target);
      join(it, it->target, client, it->loses_to_client);
      it->target->connectToHost(QString::fromStdString(target_host_), target_port_);
    }
  }

  void join(const std::shared_ptr<pair>& it, QTcpSocket* from, QTcpSocket* to,
            const bool& is_lost) {
    const auto forward = [it, from, to, &is_lost] {
      const auto buf = from->readAll();
      if (!is_lost) {
        to->write(buf);
      }
    };
    connect(from, &QTcpSocket::readyRead, this, forward);
    connect(from, &QTcpSocket::disconnected, this, [it, forward, to, &is_lost] {
      forward();
      if (!is_lost) {
        to->disconnectFromHost();
      }
    });
    connect(from, &QTcpSocket::errorOccurred, this, [it, to, &is_lost] {
      if (!is_lost) {
        to->disconnectFromHost();
      }
    });
  }

  QTcpServer server_;
  std::string target_host_;
  std::uint16_t target_port_;
  std::vector<std::shared_ptr<pair>> pairs_;
  bool silences_new_ = false;
};
