#pragma once

#include <catch2/catch.hpp>

#include "endless_peer.h"
#include "event_loop.h"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

// Crowds of clients that don't end their requests or don't read their responses, and what
// they make a process hold.

// What each client of a crowd sends: a beginning, and then one piece again and again, in
// turn with the others. "{n}" in the beginning is replaced by the number of the client.
struct crowd_kind {
  std::string name;
  std::string begin;
  std::string piece;
  std::size_t pieces = 0;
  std::string end;
  std::size_t bytes_per_turn = 0; // 0: as many as the socket takes
  bool reads = true;
  std::size_t clients = 0; // 0: as the test says
};

class client_crowd {
public:
  client_crowd(const marigoldstep::io::endpoint& target, crowd_kind kind, std::size_t n)
      : kind_(std::move(kind)) {
    const auto address = endless_detail::loopback(target);
    for (std::size_t i = 0; i < n; ++i) {
      client it;
      it.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      ::connect(it.fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
      it.begin = kind_.begin;
      const auto at = it.begin.find("{n}");
      if (at != std::string::npos) {
        it.begin.replace(at, 3, std::to_string(i));
      }
      clients_.push_back(std::move(it));
    }
    thread_ = std::thread([this] { run(); });
  }
  ~client_crowd() {
    stopping_ = true;
    thread_.join();
    for (const auto& it : clients_) {
      ::close(it.fd);
    }
  }
  client_crowd(const client_crowd&) = delete;
  client_crowd& operator=(const client_crowd&) = delete;

  // Runs the event loop until no client has sent anything for a while: each has sent all,
  // or was refused, or has to wait. The connections that are open then stay open.
  void settle() {
    wait_until([this] { return is_settled_.load(); }, max_time);
  }
  // What each client has got so far: the beginning of a response, and whether its
  // connection was closed.
  struct result {
    std::string response;
    bool is_closed = false;
  };
  [[nodiscard]] std::vector<result> results() const {
    const std::lock_guard lock(mutex_);
    std::vector<result> out;
    for (const auto& it : clients_) {
      out.push_back(it.got);
    }
    return out;
  }

private:
  struct client {
    int fd = -1;
    std::string begin;
    std::size_t sent = 0;
    result got;
  };

  static constexpr auto max_time = std::chrono::seconds(20);
  static constexpr auto settle_time = std::chrono::milliseconds(500);
  static constexpr std::size_t max_received = 400;

  [[nodiscard]] std::size_t total(const client& it) const {
    return it.begin.size() + kind_.piece.size() * kind_.pieces + kind_.end.size();
  }

  // The bytes that follow what was sent, up to the end of the piece.
  [[nodiscard]] std::string_view next(const client& it) const {
    if (it.sent < it.begin.size()) {
      return std::string_view(it.begin).substr(it.sent);
    }
    const auto at = it.sent - it.begin.size();
    const auto pieces_bytes = kind_.piece.size() * kind_.pieces;
    return at < pieces_bytes
               ? std::string_view(kind_.piece).substr(at % kind_.piece.size())
               : std::string_view(kind_.end).substr(at - pieces_bytes);
  }

  // Returns whether any byte was sent.
  bool send_some(client& it) {
    std::size_t n = 0;
    const auto most = kind_.bytes_per_turn == 0 ? total(it) : kind_.bytes_per_turn;
    while (it.sent < total(it) && n < most) {
      const auto text = next(it);
      const auto rc = ::send(it.fd, text.data(), std::min(text.size(), most - n),
                             MSG_NOSIGNAL | MSG_DONTWAIT);
      if (rc < 0) {
        const bool can_wait =
            errno == EAGAIN || errno == EINTR || errno == ENOTCONN || errno == EALREADY;
        const std::lock_guard lock(mutex_);
        it.got.is_closed = !can_wait;
        break;
      }
      n += static_cast<std::size_t>(rc);
      it.sent += static_cast<std::size_t>(rc);
    }
    return n > 0;
  }

  void receive_some(client& it) {
    char buf[4096];
    while (kind_.reads) {
      const auto n = ::recv(it.fd, buf, sizeof(buf), MSG_DONTWAIT);
      const std::lock_guard lock(mutex_);
      auto& text = it.got.response;
      if (n <= 0) {
        it.got.is_closed = it.got.is_closed || n == 0 || errno == ECONNRESET;
        return;
      }
      const auto room = max_received - std::min(max_received, text.size());
      text.append(buf, std::min(static_cast<std::size_t>(n), room));
    }
  }

  void run() {
    auto progress_at = std::chrono::steady_clock::now();
    while (!stopping_) {
      bool has_progress = false;
      for (auto& it : clients_) {
        receive_some(it);
        has_progress = (!it.got.is_closed && send_some(it)) || has_progress;
      }
      const auto now = std::chrono::steady_clock::now();
      progress_at = has_progress ? now : progress_at;
      is_settled_ = is_settled_ || now - progress_at > settle_time;
      if (!has_progress) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
    }
  }

  crowd_kind kind_;
  std::vector<client> clients_;
  mutable std::mutex mutex_; // of the results
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> is_settled_ = false;
  std::thread thread_;
};

// Observes what a process holds until stop(): resident memory together with what its
// sockets have received and it has not read, and descriptors.
class process_watch {
public:
  explicit process_watch(qint64 pid)
      : folder_("/proc/" + std::to_string(pid)), thread_([this] { run(); }) {}
  ~process_watch() { stop(); }
  process_watch(const process_watch&) = delete;
  process_watch& operator=(const process_watch&) = delete;

  void stop() {
    stopping_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  [[nodiscard]] std::size_t memory_bytes() const { return memory_bytes_; }
  [[nodiscard]] std::size_t descriptors() const { return descriptors_; }

private:
  [[nodiscard]] std::size_t resident_bytes() const {
    std::ifstream in(folder_ + "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.starts_with("VmRSS:")) {
        return std::stoul(line.substr(line.find_first_of("0123456789"))) << 10U;
      }
    }
    return 0;
  }

  // Sums the receive queues of the sockets among the descriptors, and counts these.
  std::size_t read_descriptors(std::size_t& count) const {
    std::set<std::string> inodes;
    std::error_code ec;
    for (auto it = std::filesystem::directory_iterator(folder_ + "/fd", ec);
         !ec && it != std::filesystem::directory_iterator(); it.increment(ec)) {
      ++count;
      std::error_code gone;
      const auto target = std::filesystem::read_symlink(it->path(), gone).string();
      if (target.starts_with("socket:[")) {
        inodes.insert(target.substr(8, target.size() - 9));
      }
    }
    std::size_t unread = 0;
    std::ifstream in("/proc/net/tcp");
    for (std::string line; std::getline(in, line);) {
      std::istringstream words(line);
      std::string skip;
      std::string queues;
      std::string inode;
      std::string state;
      words >> skip >> skip >> skip >> state >> queues >> skip >> skip >> skip >> skip >>
          inode;
      const bool is_listening = state == "0A";
      if (!is_listening && inodes.contains(inode)) {
        unread += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
      }
    }
    return unread;
  }

  void run() {
    while (!stopping_) {
      std::size_t count = 0;
      const auto unread = read_descriptors(count);
      memory_bytes_ = std::max(memory_bytes_.load(), resident_bytes() + unread);
      descriptors_ = std::max(descriptors_.load(), count);
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  std::string folder_;
  std::atomic<std::size_t> memory_bytes_ = 0;
  std::atomic<std::size_t> descriptors_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

// Requests one after the other, none of whose responses the client reads.
inline crowd_kind unread_responses(const std::string& request) {
  constexpr std::size_t bytes = 4U << 20U;
  return {"unread responses", "", request, bytes / request.size(), "", 0, false};
}

// Connections whose requests stay in their head.
inline crowd_kind many_connections(const std::string& head) {
  return {"many connections", head, "", 0, "", 0, true, 500};
}

// All kinds of crowds. Their requests begin with this head, which has no fields about the
// body yet, and may have bodies up to max_body bytes and heads up to max_head bytes. A
// GET of unread_path is answered at once.
inline std::vector<crowd_kind> crowd_kinds(const std::string& head,
                                           const std::string& unread_path,
                                           std::size_t max_body, std::size_t max_head) {
  constexpr std::size_t piece = 64U << 10U;
  constexpr std::size_t endless_factor = 4;
  const auto sized = [&](std::size_t n) {
    return head + "Content-Length: " + std::to_string(n) + "\r\n\r\n";
  };
  const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string text(piece, 'x');
  const auto hex = [](std::size_t n) {
    std::ostringstream out;
    out << std::hex << n << "\r\n";
    return out.str();
  };
  const auto chunk = [&](std::size_t n) { return hex(n) + std::string(n, 'x') + "\r\n"; };
  const auto pieces = max_body / piece - 1;
  constexpr std::size_t many_bytes = 256U << 10U;
  const std::string last(piece - 1, 'x'); // all but a byte
  const std::string field = "a:\r\n";
  std::string fields;
  while (head.size() + fields.size() + 2 * field.size() + 30 < max_head) {
    fields += field;
  }
  return {
      {"whole but for a byte", sized(max_body), text, pieces, last},
      {"piece by piece", sized(max_body), text, pieces, last, piece},
      {"one chunk", chunked + hex(max_body), text, pieces, last},
      {"chunks of 1,000 bytes", chunked, chunk(1000), (max_body - 1000) / 1000, ""},
      {"chunks of a byte", chunked, chunk(1), many_bytes, ""},
      {"chunks far over the limit", chunked, chunk(piece),
       endless_factor * max_body / piece, ""},
      {"a length far over the limit", sized(1000 * max_body), text,
       endless_factor * max_body / piece, ""},
      {"whole", sized(max_body), text, max_body / piece, ""},
      {"many fields", head + fields + "Content-Length: 9\r\n\r\n", "", 0, "x", 0, true,
       300},
      unread_responses("GET " + unread_path + " HTTP/1.1\r\nHost: h\r\n\r\n"),
      many_connections(head),
  };
}

// The seconds that a response's Retry-After names; unset without one.
inline std::optional<double> retry_after(const std::string& response) {
  const std::string field = "Retry-After: ";
  const auto at = response.find(field);
  return at == std::string::npos ? std::nullopt
                                 : std::optional(std::stod(response.substr(at + 13)));
}
