#include "marigoldstep/io/backend_pool.h"

#include "marigoldstep/io/clock.h"

#include <QTimer>

namespace marigoldstep::io {

namespace {

// A server may close an idle connection shortly before its timeout. A request sent at
// that moment fails, and it is unknown whether it ran.
constexpr auto idle_margin = milliseconds(1000);
constexpr auto expire_interval = std::chrono::milliseconds(500);

} // namespace

backend_pool::backend_pool(QObject* parent) : QObject(parent) {
  auto* timer = new QTimer(this);
  connect(timer, &QTimer::timeout, this, [this] { expire(); });
  timer->start(expire_interval);
}

backend_connection* backend_pool::acquire(const endpoint& target,
                                          std::string_view request_id) {
  const auto id_hash = stable_hash(request_id);
  auto& list = idle_[target];
  const auto now = io::now();
  for (auto i = list.size(); i-- > 0;) {
    const auto it = list[i];
    const bool is_usable = it.usable_until > now && it.connection->is_reusable();
    if (is_usable && it.connection->has_carried(id_hash)) {
      continue;
    }
    list.erase(list.begin() + static_cast<std::ptrdiff_t>(i));
    it.connection->on_idle_closed = nullptr;
    if (is_usable) {
      it.connection->add_request(id_hash);
      return it.connection;
    }
    discard(it.connection);
  }
  return open(target, request_id);
}

backend_connection* backend_pool::open(const endpoint& target,
                                       std::string_view request_id) {
  ++connect_count_;
  auto* connection = new backend_connection(target, connect_timeout, this);
  connection->add_request(stable_hash(request_id));
  return connection;
}

void backend_pool::release(backend_connection* connection, milliseconds idle_timeout,
                           std::size_t max_idle) {
  if (!connection->is_reusable() || idle_timeout <= idle_margin ||
      idle_[connection->target()].size() >= max_idle) {
    discard(connection);
    return;
  }
  connection->set_paused(false);
  connection->on_idle_closed = [this, connection] { remove_idle(connection); };
  idle_[connection->target()].push_back(
      {connection, io::now() + idle_timeout - idle_margin});
}

void backend_pool::remove_idle(backend_connection* connection) {
  auto& list = idle_[connection->target()];
  std::erase_if(list, [&](const auto& it) { return it.connection == connection; });
  discard(connection);
}

void backend_pool::discard(backend_connection* connection) {
  connection->on_idle_closed = nullptr;
  connection->abort();
  connection->deleteLater();
}

void backend_pool::close_idle(const endpoint& target) {
  const auto list = std::move(idle_[target]);
  idle_.erase(target);
  for (const auto& it : list) {
    discard(it.connection);
  }
}

void backend_pool::expire() {
  const auto now = io::now();
  std::vector<backend_connection*> expired;
  for (auto& [target, list] : idle_) {
    for (const auto& it : list) {
      if (it.usable_until <= now) {
        expired.push_back(it.connection);
      }
    }
    std::erase_if(list, [&](const auto& it) { return it.usable_until <= now; });
  }
  for (auto* it : expired) {
    discard(it);
  }
  std::erase_if(idle_, [](const auto& it) { return it.second.empty(); });
}

} // namespace marigoldstep::io
