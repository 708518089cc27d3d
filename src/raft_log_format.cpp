#include "marigoldstep/raft_log_format.h"

#include <algorithm>

namespace marigoldstep {

namespace {

// "MSR" in the upper three bytes; the lowest one holds the type. The scan for valid
// records after an invalid one rejects most offsets by it.
constexpr std::uint32_t record_magic = 0x4d535200;
constexpr std::uint32_t format_version = 1;

template <typename Number> void put(bytes& out, Number value) {
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
  }
}

// Reads little-endian numbers; ok becomes false when too few bytes are left.
struct byte_reader {
  byte_view rest;
  bool ok = true;

  byte_view take(std::size_t n) {
    ok = ok && n <= rest.size();
    if (!ok) {
      return {};
    }
    const auto out = rest.first(n);
    rest = rest.subspan(n);
    return out;
  }

  template <typename Number> Number number() {
    Number out = 0;
    const auto raw = take(sizeof(Number));
    for (std::size_t i = 0; i < raw.size(); ++i) {
      out |= static_cast<Number>(static_cast<Number>(raw[i]) << (8 * i));
    }
    return out;
  }
};

std::uint64_t checksum(record_type type, byte_view payload, std::uint64_t segment,
                       std::uint64_t offset) {
  bytes position;
  put(position, segment);
  put(position, offset);
  put(position, static_cast<std::uint32_t>(type));
  put(position, static_cast<std::uint64_t>(payload.size()));
  return stable_hash(payload, stable_hash(position));
}

bytes encode_record(record_type type, byte_view payload, std::uint64_t segment,
                    std::uint64_t offset) {
  bytes out;
  out.reserve(record_header_bytes + payload.size());
  put(out, record_magic | static_cast<std::uint32_t>(type));
  put(out, static_cast<std::uint32_t>(payload.size()));
  put(out, checksum(type, payload, segment, offset));
  out.insert(out.end(), payload.begin(), payload.end());
  return out;
}

struct record_view {
  record_type type = record_type::batch;
  byte_view payload;
  std::size_t size = 0; // including the header
};

std::optional<record_view> read_record(byte_view data, std::uint64_t segment,
                                       std::size_t offset) {
  byte_reader in{data.subspan(std::min(offset, data.size()))};
  const auto tag = in.number<std::uint32_t>();
  const auto n = in.number<std::uint32_t>();
  const auto sum = in.number<std::uint64_t>();
  if (!in.ok || (tag & 0xffffff00U) != record_magic) {
    return std::nullopt;
  }
  const auto type = static_cast<record_type>(tag & 0xffU);
  const auto payload = in.take(n);
  if (!in.ok || checksum(type, payload, segment, offset) != sum) {
    return std::nullopt;
  }
  return record_view{type, payload, record_header_bytes + n};
}

bool has_record_from(byte_view data, std::uint64_t segment, std::size_t offset) {
  for (auto i = offset; i + record_header_bytes <= data.size(); ++i) {
    if (read_record(data, segment, i)) {
      return true;
    }
  }
  return false;
}

enum class item_kind : std::uint8_t { identity = 1, state, marker, entry };

void put_item(bytes& out, const member_identity& it) {
  put(out, static_cast<std::uint8_t>(item_kind::identity));
  put(out, it.id);
  put(out, it.group);
}

void put_item(bytes& out, const hard_state& it) {
  put(out, static_cast<std::uint8_t>(item_kind::state));
  put(out, it.term);
  put(out, it.voted_for);
}

void put_item(bytes& out, const snapshot_marker& it) {
  put(out, static_cast<std::uint8_t>(item_kind::marker));
  put(out, it.last_index);
  put(out, it.last_term);
}

void put_item(bytes& out, const log_entry& it) {
  put(out, static_cast<std::uint8_t>(item_kind::entry));
  put(out, it.index);
  put(out, it.term);
  put(out, static_cast<std::uint8_t>(it.kind));
  put(out, static_cast<std::uint32_t>(it.data.size()));
  out.insert(out.end(), it.data.begin(), it.data.end());
}

log_entry read_entry(byte_reader& in) {
  log_entry out;
  out.index = in.number<std::uint64_t>();
  out.term = in.number<std::uint64_t>();
  out.kind = static_cast<entry_kind>(in.number<std::uint8_t>());
  const auto data = in.take(in.number<std::uint32_t>());
  out.data.assign(data.begin(), data.end());
  return out;
}

bool read_items(byte_view payload, std::vector<log_item>& out) {
  byte_reader in{payload};
  while (in.ok && !in.rest.empty()) {
    switch (static_cast<item_kind>(in.number<std::uint8_t>())) {
    case item_kind::identity: {
      const auto id = in.number<std::uint64_t>();
      out.emplace_back(member_identity{id, in.number<std::uint64_t>()});
      break;
    }
    case item_kind::state: {
      const auto term = in.number<std::uint64_t>();
      out.emplace_back(hard_state{term, in.number<std::uint64_t>()});
      break;
    }
    case item_kind::marker: {
      const auto index = in.number<std::uint64_t>();
      out.emplace_back(snapshot_marker{index, in.number<std::uint64_t>()});
      break;
    }
    case item_kind::entry:
      out.emplace_back(read_entry(in));
      break;
    default:
      return false;
    }
  }
  return in.ok;
}

bool is_segment_start(const record_view& record, std::uint64_t segment) {
  byte_reader in{record.payload};
  return record.type == record_type::segment_start &&
         in.number<std::uint32_t>() == format_version &&
         in.number<std::uint64_t>() == segment && in.ok;
}

std::string describe_position(std::uint64_t segment, std::size_t offset) {
  return "segment " + std::to_string(segment) + ", byte " + std::to_string(offset);
}

// Rebuilds the state from items, applied in the order in which they were stored.
class log_replayer {
public:
  std::string problem;

  void apply(const member_identity& it) { state_.identity = it; }
  void apply(const hard_state& it) { state_.state = it; }

  void apply(const snapshot_marker& it) {
    auto& entries = state_.entries;
    const bool in_log = it.last_index > base() && it.last_index <= last() &&
                        entries[it.last_index - base() - 1].term == it.last_term;
    if (in_log) {
      const auto n = static_cast<std::ptrdiff_t>(it.last_index - base());
      entries.erase(entries.begin(), entries.begin() + n);
    } else if (it.last_index != base()) {
      entries.clear();
    }
    state_.snapshot.last_index = it.last_index;
    state_.snapshot.last_term = it.last_term;
  }

  void apply(log_entry it) {
    if (it.index <= base()) {
      return;
    }
    auto& entries = state_.entries;
    if (it.index > last() + 1) {
      problem = "entry " + std::to_string(it.index) + " follows entry " +
                std::to_string(last());
      return;
    }
    if (it.index <= last()) {
      // A checkpoint repeats entries. Only one with another term replaces the stored
      // entry and all after it.
      if (entries[it.index - base() - 1].term == it.term) {
        return;
      }
      entries.resize(it.index - base() - 1);
    }
    entries.push_back(std::move(it));
  }

  raft_recovery take() { return std::move(state_); }

private:
  [[nodiscard]] log_index base() const { return state_.snapshot.last_index; }
  [[nodiscard]] log_index last() const { return base() + state_.entries.size(); }

  raft_recovery state_;
};

// Whether the segment begins with a complete checkpoint, so that earlier segments
// are not needed. A checkpoint is one record, so it is either complete or torn.
bool begins_with_checkpoint(const segment_image& segment) {
  const auto start = read_record(segment.data, segment.number, 0);
  if (!start || !is_segment_start(*start, segment.number)) {
    return false;
  }
  const auto first = read_record(segment.data, segment.number, start->size);
  std::vector<log_item> items;
  return first && first->type == record_type::batch &&
         read_items(first->payload, items) &&
         std::any_of(items.begin(), items.end(), [](const auto& it) {
           return std::holds_alternative<snapshot_marker>(it);
         });
}

// Position in segments of the one that recovery starts from; segments.size() if an
// earlier segment is missing.
std::size_t first_needed_segment(std::span<const segment_image> segments) {
  for (auto i = segments.size(); i > 0; --i) {
    if (begins_with_checkpoint(segments[i - 1])) {
      return i - 1;
    }
  }
  const bool complete = segments.empty() || segments.front().number == 1;
  return complete ? 0 : segments.size();
}

void load_referenced_snapshot(raft_recovery& raft, const snapshot_loader& load,
                              std::error_code& ec, std::string& detail) {
  const auto marker = snapshot_marker{raft.snapshot.last_index, raft.snapshot.last_term};
  if (marker.last_index == 0) {
    return;
  }
  raft.snapshot = load(marker.last_index, ec);
  const auto& found = raft.snapshot;
  if (ec || found.last_index != marker.last_index ||
      found.last_term != marker.last_term) {
    ec = make_error_code(errc::storage_corrupt);
    detail = "the snapshot up to entry " + std::to_string(marker.last_index) +
             " is missing or damaged";
  }
}

} // namespace

bytes encode_segment_start(std::uint64_t segment) {
  bytes payload;
  put(payload, format_version);
  put(payload, segment);
  return encode_record(record_type::segment_start, payload, segment, 0);
}

bytes encode_batch(std::span<const log_item> items, std::uint64_t segment,
                   std::uint64_t offset) {
  bytes payload;
  for (const auto& it : items) {
    std::visit([&](const auto& item) { put_item(payload, item); }, it);
  }
  return encode_record(record_type::batch, payload, segment, offset);
}

segment_scan scan_segment(byte_view data, std::uint64_t segment, bool is_last,
                          std::error_code& ec, std::string& detail) {
  ec.clear();
  segment_scan out;
  while (out.valid_size < data.size()) {
    const auto record = read_record(data, segment, out.valid_size);
    const bool start_expected = out.valid_size == 0;
    const bool readable =
        record && (start_expected ? is_segment_start(*record, segment)
                                  : record->type == record_type::batch &&
                                        read_items(record->payload, out.items));
    if (readable) {
      out.valid_size += record->size;
      continue;
    }
    // A record with a valid checksum but invalid contents is no torn write.
    if (record || !is_last || has_record_from(data, segment, out.valid_size + 1)) {
      ec = make_error_code(errc::storage_corrupt);
      detail = "invalid record at " + describe_position(segment, out.valid_size);
    }
    return out;
  }
  if (!is_last && data.empty()) {
    ec = make_error_code(errc::storage_corrupt);
    detail = "empty segment " + std::to_string(segment);
  }
  return out;
}

recovered_log recover_log(std::span<const segment_image> segments,
                          const snapshot_loader& load_snapshot, std::error_code& ec,
                          std::string& detail) {
  ec.clear();
  recovered_log out;
  log_replayer replay;
  const auto first = first_needed_segment(segments);
  if (first == segments.size() && first > 0) {
    ec = make_error_code(errc::storage_corrupt);
    detail =
        "the segments before " + std::to_string(segments.front().number) + " are missing";
    return out;
  }
  for (auto i = first; i < segments.size(); ++i) {
    const auto& it = segments[i];
    if (i > first && it.number != segments[i - 1].number + 1) {
      ec = make_error_code(errc::storage_corrupt);
      detail = "segment " + std::to_string(segments[i - 1].number + 1) + " is missing";
      return out;
    }
    const bool is_last = i + 1 == segments.size();
    auto scan = scan_segment(it.data, it.number, is_last, ec, detail);
    if (ec) {
      return out;
    }
    for (auto& item : scan.items) {
      std::visit([&](auto& value) { replay.apply(std::move(value)); }, item);
    }
    if (!replay.problem.empty()) {
      ec = make_error_code(errc::storage_corrupt);
      detail = replay.problem + " in segment " + std::to_string(it.number);
      return out;
    }
    out.last_segment = it.number;
    out.valid_size = scan.valid_size;
    out.torn_tail_bytes = it.data.size() - scan.valid_size;
  }
  out.raft = replay.take();
  load_referenced_snapshot(out.raft, load_snapshot, ec, detail);
  return out;
}

namespace {

void plan_batch(log_position& position, std::span<const log_item> items,
                std::vector<storage_op>& out) {
  if (items.empty()) {
    return;
  }
  if (position.offset > max_segment_bytes) {
    position = {position.segment + 1, 0};
  }
  storage_op op{storage_action::append, position.segment, 0, {}};
  if (position.offset == 0) {
    op.action = storage_action::start_segment;
    op.data = encode_segment_start(position.segment);
  }
  const auto batch =
      encode_batch(items, position.segment, position.offset + op.data.size());
  op.data.insert(op.data.end(), batch.begin(), batch.end());
  position.offset += op.data.size();
  out.push_back(std::move(op));
}

void plan_checkpoint(log_position& position, const log_checkpoint& checkpoint,
                     std::vector<storage_op>& out) {
  const auto index = checkpoint.snapshot.last_index;
  out.push_back({storage_action::store_snapshot, 0, index,
                 encode_snapshot_file(checkpoint.snapshot)});
  if (position.offset > 0) {
    position = {position.segment + 1, 0};
  }
  plan_batch(position, checkpoint.items, out);
  out.push_back({storage_action::remove_before, position.segment, index, {}});
}

} // namespace

std::vector<storage_op> plan_writes(log_position& position,
                                    std::span<const raft_record> records) {
  std::vector<storage_op> out;
  std::vector<log_item> items;
  for (const auto& it : records) {
    if (const auto* item = std::get_if<log_item>(&it)) {
      items.push_back(*item);
      continue;
    }
    plan_batch(position, items, out);
    items.clear();
    plan_checkpoint(position, std::get<log_checkpoint>(it), out);
  }
  plan_batch(position, items, out);
  return out;
}

bytes encode_snapshot_file(const raft_snapshot& snapshot) {
  bytes payload;
  put(payload, snapshot.last_index);
  put(payload, snapshot.last_term);
  const auto list = encode_members(snapshot.members);
  put(payload, static_cast<std::uint32_t>(list.size()));
  payload.insert(payload.end(), list.begin(), list.end());
  if (snapshot.data) {
    payload.insert(payload.end(), snapshot.data->begin(), snapshot.data->end());
  }
  return encode_record(record_type::snapshot, payload, snapshot.last_index, 0);
}

raft_snapshot decode_snapshot_file(byte_view data, std::error_code& ec) {
  ec = make_error_code(errc::storage_corrupt);
  // The checksum covers the index, which is the first number of the payload.
  byte_reader key{data.subspan(std::min(record_header_bytes, data.size()))};
  const auto index = key.number<std::uint64_t>();
  const auto record = read_record(data, index, 0);
  if (!record || record->type != record_type::snapshot || record->size != data.size()) {
    return {};
  }
  byte_reader in{record->payload};
  raft_snapshot out;
  out.last_index = in.number<std::uint64_t>();
  out.last_term = in.number<std::uint64_t>();
  const auto list = in.take(in.number<std::uint32_t>());
  if (!in.ok) {
    return {};
  }
  // Copied because a FlatBuffer must be aligned in memory.
  out.members = decode_members(bytes(list.begin(), list.end()), ec);
  out.data = std::make_shared<const bytes>(in.rest.begin(), in.rest.end());
  return out;
}

} // namespace marigoldstep
