#include "marigoldstep/io/stream_store.h"

#include "marigoldstep/error.h"
#include "marigoldstep/io/logging.h"

#include <filesystem>

namespace marigoldstep::io {

namespace {

// The first event of a stream waits for this and the sync.
constexpr auto flush_delay = std::chrono::milliseconds(4);
// Space on a full disk is often freed within seconds.
constexpr auto retry_interval = std::chrono::milliseconds(1000);
// A checkpoint replaces the log once the log is larger than this, and than the last
// checkpoint times this.
constexpr std::size_t min_checkpoint_bytes = 256U << 10U;
constexpr std::size_t checkpoint_growth = 4;
// Entries of this log have no leader.
constexpr term_number only_term = 1;

} // namespace

stream_store::stream_store(QObject* parent) : QObject(parent) {
  flush_timer_.setSingleShot(true);
  flush_timer_.setTimerType(Qt::PreciseTimer);
  connect(&flush_timer_, &QTimer::timeout, this, [this] { flush(); });
  connect(&retry_timer_, &QTimer::timeout, this, [this] {
    try_open();
    if (is_open()) {
      retry_timer_.stop();
      checkpoint();
    }
  });
}

std::vector<stream_record> stream_store::open(const std::string& directory) {
  directory_ = directory;
  auto out = try_open();
  if (!is_open()) {
    retry_timer_.start(retry_interval);
  }
  return out;
}

std::vector<stream_record> stream_store::try_open() {
  std::vector<stream_record> out;
  std::error_code ec;
  std::string detail;
  auto log = std::make_unique<raft_storage>(nullptr);
  auto found = log->open(directory_, ec, detail);
  const auto add = [&](byte_view batch) {
    const auto records =
        ec ? std::vector<stream_record>() : decode_stream_records(batch, ec);
    out.insert(out.end(), records.begin(), records.end());
  };
  if (!ec && found.raft.snapshot.data) {
    add(*found.raft.snapshot.data);
  }
  for (const auto& it : found.raft.entries) {
    add(it.data);
  }
  last_index_ = found.raft.snapshot.last_index + found.raft.entries.size();
  if (ec == errc::storage_corrupt) {
    log_event(log_level::error, "stream_records_lost",
              {{"directory", directory_}, {"detail", detail}});
    log.reset();
    out.clear();
    last_index_ = 0;
    std::filesystem::remove_all(directory_, ec);
    log = std::make_unique<raft_storage>(nullptr);
    log->open(directory_, ec, detail);
  }
  if (ec) {
    log_event(log_level::warning, "stream_store_unavailable",
              {{"error", ec.message()}, {"detail", detail}});
    return {};
  }
  log->on_synced = [this](std::uint64_t id) { handle_synced(id); };
  log->on_failed = [this](const std::string& why) { handle_failure(why); };
  log_ = std::move(log);
  bytes_since_checkpoint_ = checkpoint_bytes_ = 0;
  log_event(log_level::info, "stream_store_opened",
            {{"records", std::to_string(out.size())},
             {"torn_bytes", std::to_string(found.torn_tail_bytes)}});
  return out;
}

void stream_store::store(stream_record record, std::function<void()> done) {
  if (!is_open()) {
    return; // the checkpoint that follows the next opening holds it
  }
  queue_.push_back(std::move(record));
  queue_done_.push_back(std::move(done));
  if (!flush_timer_.isActive()) {
    flush_timer_.start(flush_delay);
  }
}

void stream_store::flush() {
  if (!is_open() || queue_.empty()) {
    return;
  }
  auto batch = encode_stream_records(queue_);
  queue_.clear();
  bytes_since_checkpoint_ += batch.size() + record_header_bytes;
  ++last_index_;
  unsynced_.push_back({last_index_, std::move(queue_done_)});
  queue_done_.clear();
  log_->store(last_index_, {log_item(log_entry{last_index_, only_term, entry_kind::normal,
                                               std::move(batch)})});
  if (is_checkpoint_due()) {
    checkpoint();
  }
}

bool stream_store::is_checkpoint_due() const {
  return bytes_since_checkpoint_ >
         std::max(min_checkpoint_bytes, checkpoint_growth * checkpoint_bytes_);
}

void stream_store::checkpoint() {
  const auto records = records_in_use ? records_in_use() : std::vector<stream_record>();
  auto data = std::make_shared<const bytes>(encode_stream_records(records));
  checkpoint_bytes_ = data->size();
  bytes_since_checkpoint_ = 0;
  ++last_index_;
  const raft_snapshot snapshot{last_index_, only_term, {}, std::move(data)};
  log_->store(last_index_,
              {log_checkpoint{snapshot, {snapshot_marker{last_index_, only_term}}}});
}

void stream_store::handle_synced(std::uint64_t sync_id) {
  std::vector<std::function<void()>> done;
  std::erase_if(unsynced_, [&](auto& it) {
    if (it.sync_id > sync_id) {
      return false;
    }
    std::move(it.done.begin(), it.done.end(), std::back_inserter(done));
    return true;
  });
  for (const auto& it : done) {
    it();
  }
}

// What the disk holds is unknown after a failed write, so the log is read again before
// anything more is stored.
void stream_store::handle_failure(const std::string& detail) {
  log_event(log_level::error, "stream_store_failed",
            {{"detail", detail}, {"unconfirmed", std::to_string(unsynced_.size())}});
  // Called by the log itself.
  log_.release()->deleteLater();
  queue_.clear();
  queue_done_.clear();
  unsynced_.clear();
  retry_timer_.start(retry_interval);
}

} // namespace marigoldstep::io
