#pragma once

#include "marigoldstep/io/raft_storage.h"
#include "marigoldstep/stream_records.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace marigoldstep::io {

// Stores stream records on disk, so that they outlive this process and a power loss.
// Records that arrive within a few milliseconds are synced together. The file format,
// the handling of torn tails and the worker thread are those of raft_storage; its entries
// hold batches of records here, and its snapshot those that are still in use.
//
// Times are not stored: after a restart, records are kept for their whole time again,
// since no clock tells how long the process was down.
class stream_store : public QObject {
public:
  explicit stream_store(QObject* parent);

  // Returns the records that are still in use. To be set before open().
  std::function<std::vector<stream_record>()> records_in_use;

  // Opens the directory, creates it if needed, and returns its records. A store that
  // can't be read is deleted and begun anew, with a log line: its streams are unknown
  // then, as after the loss of the disk. While the directory can't be written, tries
  // again each second.
  std::vector<stream_record> open(const std::string& directory);

  // Stores a record. Calls done once it is durable, and never if it can't be stored.
  void store(stream_record record, std::function<void()> done);

  [[nodiscard]] bool is_open() const { return log_ != nullptr; }

private:
  struct unsynced_batch {
    std::uint64_t sync_id = 0;
    std::vector<std::function<void()>> done;
  };

  std::vector<stream_record> try_open();
  void flush();
  void checkpoint();
  void handle_synced(std::uint64_t sync_id);
  void handle_failure(const std::string& detail);
  [[nodiscard]] bool is_checkpoint_due() const;

  std::string directory_;
  std::unique_ptr<raft_storage> log_; // null while the directory can't be used
  QTimer flush_timer_;
  QTimer retry_timer_;
  std::vector<stream_record> queue_;
  std::vector<std::function<void()>> queue_done_;
  std::vector<unsynced_batch> unsynced_;
  log_index last_index_ = 0;
  std::size_t bytes_since_checkpoint_ = 0;
  std::size_t checkpoint_bytes_ = 0; // size of the last checkpoint
};

} // namespace marigoldstep::io
