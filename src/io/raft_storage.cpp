#include "marigoldstep/io/raft_storage.h"

#include "marigoldstep/io/program.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <fcntl.h>
#include <filesystem>
#include <optional>
#include <sys/file.h>
#include <unistd.h>

namespace marigoldstep::io {

namespace {

namespace fs = std::filesystem;

constexpr std::string_view segment_prefix = "segment-";
constexpr std::string_view snapshot_prefix = "snapshot-";
constexpr std::string_view temporary_suffix = ".tmp";
constexpr std::size_t number_digits = 20;
constexpr mode_t file_mode = 0600;

std::error_code errno_error() {
  return {errno, std::generic_category()};
}

std::string zero_padded(std::uint64_t number) {
  const auto text = std::to_string(number);
  return std::string(number_digits - text.size(), '0') + text;
}

std::optional<std::uint64_t> parse_file_number(std::string_view name,
                                               std::string_view prefix) {
  if (!name.starts_with(prefix)) {
    return std::nullopt;
  }
  const auto digits = name.substr(prefix.size());
  std::uint64_t number = 0;
  const auto* end = digits.data() + digits.size();
  const auto [rest, ec] = std::from_chars(digits.data(), end, number);
  if (ec != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return number;
}

std::vector<std::uint64_t> list_file_numbers(const std::string& directory,
                                             std::string_view prefix) {
  std::vector<std::uint64_t> out;
  std::error_code ec;
  for (const auto& it : fs::directory_iterator(directory, ec)) {
    if (const auto number = parse_file_number(it.path().filename().string(), prefix)) {
      out.push_back(*number);
    }
  }
  std::sort(out.begin(), out.end());
  return out;
}

void remove_temporary_files(const std::string& directory) {
  std::error_code ec;
  for (const auto& it : fs::directory_iterator(directory, ec)) {
    if (it.path().filename().string().ends_with(temporary_suffix)) {
      fs::remove(it.path(), ec);
    }
  }
}

bytes read_bytes(const std::string& path, std::error_code& ec) {
  const auto text = read_file(path, ec);
  return {text.begin(), text.end()};
}

} // namespace

raft_storage::raft_storage(QObject* parent) : QObject(parent) {}

raft_storage::~raft_storage() {
  close();
  for (const int fd : {segment_fd_, directory_fd_, lock_fd_}) {
    if (fd >= 0) {
      ::close(fd);
    }
  }
}

std::string raft_storage::segment_path(std::uint64_t number) const {
  return directory_ + "/" + std::string(segment_prefix) + zero_padded(number);
}

std::string raft_storage::snapshot_path(log_index index) const {
  return directory_ + "/" + std::string(snapshot_prefix) + zero_padded(index);
}

recovered_log raft_storage::open(const std::string& directory, std::error_code& ec,
                                 std::string& detail) {
  directory_ = directory;
  fs::create_directories(directory, ec);
  directory_fd_ = ec ? -1 : ::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const auto lock_path = directory + "/lock";
  lock_fd_ = ::open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
  if (directory_fd_ < 0 || lock_fd_ < 0 || ::flock(lock_fd_, LOCK_EX | LOCK_NB) != 0) {
    detail = directory + " cannot be opened or locked: " + errno_error().message();
    ec = make_error_code(errc::storage_failed);
    return {};
  }
  remove_temporary_files(directory);
  std::vector<segment_image> images;
  for (const auto number : list_file_numbers(directory, segment_prefix)) {
    images.push_back({number, read_bytes(segment_path(number), ec)});
    if (ec) {
      detail = segment_path(number) + " cannot be read: " + ec.message();
      ec = make_error_code(errc::storage_failed);
      return {};
    }
  }
  if (images.empty() && !list_file_numbers(directory, snapshot_prefix).empty()) {
    detail = directory + " holds snapshots but no segments";
    ec = make_error_code(errc::storage_corrupt);
    return {};
  }
  auto found = recover_log(
      images,
      [this](log_index index, std::error_code& load_ec) {
        const auto data = read_bytes(snapshot_path(index), load_ec);
        return load_ec ? raft_snapshot{} : decode_snapshot_file(data, load_ec);
      },
      ec, detail);
  if (!ec && truncate_torn_tail(found)) {
    detail =
        "the torn tail of " + segment_path(found.last_segment) + " cannot be truncated";
    ec = make_error_code(errc::storage_failed);
  }
  if (!ec) {
    worker_ = std::thread([this] { run(); });
  }
  return found;
}

std::error_code raft_storage::truncate_torn_tail(const recovered_log& found) {
  if (found.last_segment == 0) {
    return {};
  }
  position_ = {found.last_segment, found.valid_size};
  segment_fd_ =
      ::open(segment_path(found.last_segment).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  const bool ok = segment_fd_ >= 0 &&
                  ::ftruncate(segment_fd_, static_cast<off_t>(found.valid_size)) == 0 &&
                  ::fsync(segment_fd_) == 0;
  return ok ? std::error_code() : errno_error();
}

void raft_storage::store(std::uint64_t sync_id, std::vector<raft_record> records) {
  {
    const std::lock_guard lock(mutex_);
    queue_.push_back({sync_id, std::move(records)});
  }
  wake_.notify_one();
}

void raft_storage::close() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  if (worker_.joinable()) {
    worker_.join();
  }
}

void raft_storage::run() {
  while (true) {
    std::vector<store_request> requests;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (queue_.empty()) {
        return;
      }
      requests.swap(queue_);
    }
    if (!failed_) {
      write_requests(std::move(requests));
    }
  }
}

void raft_storage::write_requests(std::vector<store_request> requests) {
  const auto begin = std::chrono::steady_clock::now();
  const auto sync_id = requests.back().sync_id;
  std::vector<raft_record> records;
  for (auto& it : requests) {
    std::move(it.records.begin(), it.records.end(), std::back_inserter(records));
  }
  for (const auto& op : plan_writes(position_, records)) {
    const auto ec = execute(op);
    if (!ec) {
      continue;
    }
    failed_ = true;
    const auto detail = "cannot write to " + directory_ + ": " + ec.message();
    QMetaObject::invokeMethod(
        this,
        [this, detail] {
          if (on_failed) {
            on_failed(detail);
          }
        },
        Qt::QueuedConnection);
    return;
  }
  const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;
  QMetaObject::invokeMethod(
      this,
      [this, sync_id, seconds = taken.count()] {
        if (on_sync_time) {
          on_sync_time(seconds);
        }
        if (on_synced) {
          on_synced(sync_id);
        }
      },
      Qt::QueuedConnection);
}

std::error_code raft_storage::execute(const storage_op& op) {
  if (inject_error) {
    if (const auto ec = inject_error(op)) {
      return ec;
    }
  }
  switch (op.action) {
  case storage_action::store_snapshot:
    return store_snapshot(op);
  case storage_action::start_segment:
    return start_segment(op);
  case storage_action::append:
    return write_and_sync(segment_fd_, op.data);
  case storage_action::remove_before:
    remove_before(op);
    return {};
  }
  return make_error_code(errc::internal_error);
}

std::error_code raft_storage::write_and_sync(int fd, const bytes& data) {
  std::size_t done = 0;
  while (done < data.size()) {
    const auto n = ::write(fd, data.data() + done, data.size() - done);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      return errno_error();
    }
    done += static_cast<std::size_t>(n);
  }
  return ::fdatasync(fd) == 0 ? std::error_code() : errno_error();
}

std::error_code raft_storage::start_segment(const storage_op& op) {
  if (segment_fd_ >= 0) {
    ::close(segment_fd_);
  }
  segment_fd_ = ::open(segment_path(op.segment).c_str(),
                       O_WRONLY | O_APPEND | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode);
  if (segment_fd_ < 0) {
    return errno_error();
  }
  if (const auto ec = write_and_sync(segment_fd_, op.data)) {
    return ec;
  }
  return ::fsync(directory_fd_) == 0 ? std::error_code() : errno_error();
}

std::error_code raft_storage::store_snapshot(const storage_op& op) {
  const auto path = snapshot_path(op.index);
  const auto temporary = path + std::string(temporary_suffix);
  const int fd =
      ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode);
  if (fd < 0) {
    return errno_error();
  }
  const auto ec = write_and_sync(fd, op.data);
  ::close(fd);
  if (ec) {
    return ec;
  }
  const bool ok =
      ::rename(temporary.c_str(), path.c_str()) == 0 && ::fsync(directory_fd_) == 0;
  return ok ? std::error_code() : errno_error();
}

// A failed removal is not an error: the next checkpoint removes the file, and
// recovery doesn't read it.
void raft_storage::remove_before(const storage_op& op) {
  std::error_code ignored;
  for (const auto number : list_file_numbers(directory_, segment_prefix)) {
    if (number < op.segment) {
      fs::remove(segment_path(number), ignored);
    }
  }
  for (const auto index : list_file_numbers(directory_, snapshot_prefix)) {
    if (index < op.index) {
      fs::remove(snapshot_path(index), ignored);
    }
  }
}

} // namespace marigoldstep::io
