#pragma once

#include <QHostAddress>
#include <QTcpServer>

#include <netinet/in.h>
#include <set>
#include <string>
#include <sys/socket.h>
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

namespace detail {

// Whether this process now holds the loopback network 127.a.b.0/24, with the number 256 a
// + b. The claim is a bound socket, which the kernel closes with the process.
inline bool claim_network(unsigned network) {
  constexpr std::uint32_t loopback_octet = 127U << 24U;
  constexpr std::uint32_t claim_host = 254;
  constexpr std::uint16_t claim_port = 10'007;
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(claim_port);
  address.sin_addr.s_addr = htonl(loopback_octet + (network << 8U) + claim_host);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
    return true;
  }
  ::close(fd);
  return false;
}

inline unsigned claim_any_network() {
  // Above the first octets of own_loopback_host().
  constexpr unsigned first_network = 200U << 8U;
  constexpr unsigned networks = 50U << 8U;
  const auto pid = static_cast<unsigned>(::getpid());
  unsigned i = 0;
  while (!claim_network(first_network + (pid + i) % networks)) {
    ++i;
  }
  return first_network + (pid + i) % networks;
}

} // namespace detail

// Address n, from 1 to 253, of a loopback network that no other process uses, for parties
// that share a port and differ in their address.
inline std::string own_network_host(int n) {
  static const unsigned network = detail::claim_any_network();
  constexpr unsigned octet_values = 256;
  return "127." + std::to_string(network / octet_values) + "." +
         std::to_string(network % octet_values) + "." + std::to_string(n);
}
