#pragma once

#include "marigoldstep/io/control_client.h"

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <fstream>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

// Peers that send bytes without end, each in a thread of its own, so that they are as
// fast as the reader.

// What a peer sends on one connection: a beginning, and after a pause one piece again and
// again until the connection is closed.
struct endless_bytes {
  std::string begin;
  std::string piece;
  std::chrono::milliseconds pause_after_begin{0};
  std::chrono::milliseconds pause_per_byte{0}; // 0: at full speed
};

namespace endless_detail {

// A peer gives up after this, so that a failing test ends.
constexpr auto max_time = std::chrono::seconds(8);
constexpr std::size_t write_bytes = 64U << 10U;

inline sockaddr_in loopback(const marigoldstep::io::endpoint& from) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(from.port);
  ::inet_pton(AF_INET, from.host.c_str(), &out.sin_addr);
  return out;
}

// Waits until the other side has closed the connection or sent something.
inline bool wait_readable(int fd, std::chrono::milliseconds time) {
  pollfd it{fd, POLLIN, 0};
  return ::poll(&it, 1, static_cast<int>(time.count())) > 0;
}

inline bool is_closed(int fd) {
  char c = 0;
  const auto n = ::recv(fd, &c, 1, MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN);
}

// Returns whether the other side closed the connection.
inline bool send_all(int fd, std::string_view text, const std::atomic<bool>& stop) {
  while (!text.empty() && !stop) {
    const auto n = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
      return true;
    }
    text.remove_prefix(n < 0 ? 0 : static_cast<std::size_t>(n));
  }
  return false;
}

inline bool send_endless(int fd, const endless_bytes& what,
                         const std::atomic<bool>& stop) {
  // A full buffer must not block the thread for good.
  const timeval step{0, 100'000};
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &step, sizeof(step));
  const auto until = std::chrono::steady_clock::now() + max_time;
  bool closed = send_all(fd, what.begin, stop);
  std::this_thread::sleep_for(what.pause_after_begin);
  const bool is_slow = what.pause_per_byte.count() > 0;
  std::string many = what.piece;
  while (!is_slow && many.size() < write_bytes) {
    many += what.piece;
  }
  for (std::size_t i = 0; !closed && !stop && std::chrono::steady_clock::now() < until;
       ++i) {
    if (is_slow) {
      std::this_thread::sleep_for(what.pause_per_byte);
      closed = is_closed(fd) || send_all(fd, {&many[i % many.size()], 1}, stop);
    } else {
      closed = send_all(fd, many, stop);
    }
  }
  return closed;
}

} // namespace endless_detail

// A backend server that sends endless bytes in place of each response: what[i] to a
// target that ends with i, otherwise the first. "{id}" is replaced by the id of the
// request.
class endless_server {
public:
  explicit endless_server(std::vector<endless_bytes> what)
      : what_(std::move(what)), fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    auto address = endless_detail::loopback(address_);
    socklen_t n = sizeof(address);
    ::bind(fd_, reinterpret_cast<sockaddr*>(&address), n);
    ::listen(fd_, 64);
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &n);
    address_.port = ntohs(address.sin_port);
    accepting_ = std::thread([this] { accept_all(); });
  }
  ~endless_server() {
    stopping_ = true;
    accepting_.join();
    for (auto& it : serving_) {
      it.join();
    }
    ::close(fd_);
  }
  endless_server(const endless_server&) = delete;
  endless_server& operator=(const endless_server&) = delete;

  [[nodiscard]] const marigoldstep::io::endpoint& address() const { return address_; }
  std::atomic<int> requests = 0;
  std::atomic<int> closed_by_reader = 0;

private:
  void accept_all() {
    while (!stopping_) {
      if (!endless_detail::wait_readable(fd_, std::chrono::milliseconds(20))) {
        continue;
      }
      const int fd = ::accept(fd_, nullptr, nullptr);
      serving_.emplace_back([this, fd] {
        serve(fd);
        ::close(fd);
      });
    }
  }

  void serve(int fd) {
    std::string head;
    while (head.find("\r\n\r\n") == std::string::npos) {
      char buf[4096];
      if (!endless_detail::wait_readable(fd, std::chrono::milliseconds(20))) {
        if (stopping_) {
          return;
        }
        continue;
      }
      const auto n = ::recv(fd, buf, sizeof(buf), 0);
      if (n <= 0) {
        return;
      }
      head.append(buf, static_cast<std::size_t>(n));
    }
    ++requests;
    auto what = what_.at(index_of(head));
    what.begin = with_id(what.begin, head);
    if (endless_detail::send_endless(fd, what, stopping_)) {
      ++closed_by_reader;
    }
  }

  static std::size_t index_of(const std::string& head) {
    const auto target_end = head.find(" HTTP/");
    const auto number = head.substr(0, target_end).find_last_not_of("0123456789") + 1;
    return number < target_end ? std::stoul(head.substr(number)) : 0;
  }

  static std::string with_id(std::string text, const std::string& head) {
    const std::string field = "Marigoldstep-Request-Id: ";
    const auto from = head.find(field);
    const auto at = text.find("{id}");
    if (from == std::string::npos || at == std::string::npos) {
      return text;
    }
    const auto begin = from + field.size();
    return text.replace(at, 4, head.substr(begin, head.find("\r\n", begin) - begin));
  }

  std::vector<endless_bytes> what_;
  int fd_;
  marigoldstep::io::endpoint address_{"127.0.0.1", 0};
  std::atomic<bool> stopping_ = false;
  std::thread accepting_;
  std::vector<std::thread> serving_;
};

// A client that sends endless bytes to a server.
class endless_client {
public:
  endless_client(const marigoldstep::io::endpoint& target, endless_bytes what)
      : thread_([this, target, what = std::move(what)] {
          const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
          const auto address = endless_detail::loopback(target);
          ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
          closed_by_reader = endless_detail::send_endless(fd, what, stopping_);
          ::close(fd);
          done = true;
        }) {}
  ~endless_client() {
    stopping_ = true;
    thread_.join();
  }
  endless_client(const endless_client&) = delete;
  endless_client& operator=(const endless_client&) = delete;

  std::atomic<bool> closed_by_reader = false;
  std::atomic<bool> done = false;

private:
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

// By how much the resident memory of this process was at most above that at construction.
class memory_watch {
public:
  memory_watch() {
    // Resets the peak.
    std::ofstream("/proc/self/clear_refs") << "5";
    start_ = read_kib("VmRSS:");
  }
  [[nodiscard]] std::size_t growth() const {
    const auto peak = read_kib("VmHWM:");
    return (peak - std::min(peak, start_)) << 10U;
  }

private:
  static std::size_t read_kib(const std::string& field) {
    std::ifstream in("/proc/self/status");
    for (std::string word; in >> word;) {
      std::size_t n = 0;
      if (word == field && in >> n) {
        return n;
      }
    }
    return 0;
  }

  std::size_t start_ = 0;
};
