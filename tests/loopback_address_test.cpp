#include "loopback_address.h"

#include <catch2/catch.hpp>

#include <array>
#include <sys/wait.h>

// Guards against two test programs that run at the same time and listen on the same
// address, so that one of them fails with "address in use".
TEST_CASE("processes that run at the same time have networks of their own") {
  constexpr std::size_t max_host_bytes = 32;
  std::array<int, 2> from_child{};
  std::array<int, 2> to_child{};
  REQUIRE(::pipe(from_child.data()) == 0);
  REQUIRE(::pipe(to_child.data()) == 0);
  const auto child = ::fork();
  REQUIRE(child >= 0);
  std::array<char, max_host_bytes> buf{};
  if (child == 0) {
    const auto host = own_network_host(1);
    const bool written = ::write(from_child[1], host.data(), host.size()) > 0;
    ::close(to_child[1]);
    // Keeps its network until the parent has one.
    const auto n = ::read(to_child[0], buf.data(), buf.size());
    ::_exit(written && n == 0 ? 0 : 1);
  }
  const auto n = ::read(from_child[0], buf.data(), buf.size());
  const auto host = own_network_host(1);
  ::close(to_child[1]);
  int status = 1;
  REQUIRE(::waitpid(child, &status, 0) == child);
  CHECK(status == 0);
  REQUIRE(n > 0);
  CHECK(host != std::string(buf.data(), static_cast<std::size_t>(n)));
  CHECK(host.starts_with("127."));
}

// Guards against two parties of a test that get one address.
TEST_CASE("addresses of one network differ and keep their numbers") {
  CHECK(own_network_host(1) != own_network_host(2));
  CHECK(own_network_host(1) == own_network_host(1));
}
