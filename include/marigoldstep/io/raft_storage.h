#pragma once

#include "marigoldstep/raft_log_format.h"

#include <QObject>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace marigoldstep::io {

// Stores a member's Raft log in one directory: numbered segments and snapshots in
// the format of raft_log_format.h. A worker thread does the writes and syncs, so
// that a slow disk doesn't block the event loop. After a failed write or sync
// nothing more is stored: the contents of the disk are unknown then, and a retry
// could report success although earlier data is lost.
class raft_storage : public QObject {
public:
  explicit raft_storage(QObject* parent);
  ~raft_storage() override;

  // Called on the owner's thread when all records up to sync_id are durable.
  std::function<void(std::uint64_t sync_id)> on_synced;
  // Called once, on the owner's thread, when a write or sync has failed.
  std::function<void(const std::string& detail)> on_failed;
  // Called on the owner's thread with the duration of each batch of writes and syncs.
  std::function<void(double seconds)> on_sync_time;
  // Makes the operations fail for which it returns an error. Only tests set it.
  std::function<std::error_code(const storage_op&)> inject_error;

  // Creates the directory if needed, locks it against other processes, recovers its
  // contents, truncates a torn tail and starts the worker thread. Errors, with
  // detail: errc::storage_corrupt and errc::storage_failed.
  recovered_log open(const std::string& directory, std::error_code& ec,
                     std::string& detail);

  // Queues records. Those queued while a sync runs are written and synced together
  // after it (group commit).
  void store(std::uint64_t sync_id, std::vector<raft_record> records);

  // Stops the worker thread once the queue is empty. The destructor calls it.
  void close();

private:
  struct store_request {
    std::uint64_t sync_id = 0;
    std::vector<raft_record> records;
  };

  void run();
  void write_requests(std::vector<store_request> requests);
  std::error_code execute(const storage_op& op);
  std::error_code start_segment(const storage_op& op);
  std::error_code store_snapshot(const storage_op& op);
  std::error_code write_and_sync(int fd, const bytes& data);
  std::error_code truncate_torn_tail(const recovered_log& found);
  void remove_before(const storage_op& op);
  [[nodiscard]] std::string segment_path(std::uint64_t number) const;
  [[nodiscard]] std::string snapshot_path(log_index index) const;

  std::string directory_;
  int lock_fd_ = -1;
  int directory_fd_ = -1;
  int segment_fd_ = -1;
  log_position position_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<store_request> queue_; // guarded by mutex_
  bool stopping_ = false;            // guarded by mutex_
  bool failed_ = false;              // worker thread only
  std::thread worker_;
};

} // namespace marigoldstep::io
