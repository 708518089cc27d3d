#pragma once

#include <QHostAddress>
#include <QTcpServer>

#include <set>
#include <string>
#include <unistd.h>

// A loopback address that no other process uses. On 127.0.0.1 the kernel may give a port
// that was free a moment ago to an outgoing connection or a listener of another test.
// first_octet tells several addresses of a process apart: the tests' fixed ones are below
// 100, and process ids take 64 values of the octet.
inline std::string own_loopback_host(unsigned first_octet = 100) {
  const auto pid = static_cast<unsigned>(::getpid());
  constexpr unsigned octet_values = 256;
  return "127." + std::to_string(first_octet + pid / octet_values / octet_values % 100) +
         "." + std::to_string(pid / octet_values % octet_values) + "." +
         std::to_string(pid % octet_values);
}

// A port that is free on own_loopback_host(). Never returns a port twice: the kernel may
// offer a port again while nothing listens on it yet.
inline std::uint16_t free_port_on_own_host() {
  static std::set<std::uint16_t> used_ports;
  while (true) {
    QTcpServer server;
    server.listen(QHostAddress(QString::fromStdString(own_loopback_host())), 0);
    if (used_ports.insert(server.serverPort()).second) {
      return server.serverPort();
    }
  }
}
