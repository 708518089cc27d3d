#include "agent/backend_call.h"

#include "marigoldstep/io/http_status.h"
#include "platform/messages.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace marigoldstep::agent {

namespace {

// Besides the fields that apply to one connection only.
constexpr std::array<std::string_view, 4> own_headers = {"host", "content-length",
                                                         "accept-encoding", "expect"};

bool is_own_header(std::string_view name) {
  return std::any_of(own_headers.begin(), own_headers.end(), [&](std::string_view it) {
    return io::equal_ignoring_case(it, name);
  });
}

bool is_one_line(std::string_view text) {
  return text.find_first_of("\r\n") == std::string_view::npos;
}

std::string to_text(const backend_request& from, const io::endpoint& backend) {
  io::http_head head;
  for (const auto& it : from.headers) {
    head.fields.push_back({it.name, it.value});
  }
  std::string out = from.method + " " + from.path + " HTTP/1.1\r\n";
  const auto add = [&out](const std::string& name, const std::string& value) {
    out += name + ": " + value + "\r\n";
  };
  add("Host", backend.host + ":" + std::to_string(backend.port));
  add("Connection", "close");
  add("Accept-Encoding", "identity");
  add("Content-Length", std::to_string(from.body.size()));
  if (io::find_field(head, "content-type") == nullptr) {
    add("Content-Type", "application/octet-stream");
  }
  for (const auto& it : head.fields) {
    if (!is_own_header(it.name) && !io::is_hop_by_hop(head, it.name) &&
        is_one_line(it.name) && is_one_line(it.value)) {
      add(it.name, it.value);
    }
  }
  out += "\r\n";
  out.append(from.body.begin(), from.body.end());
  return out;
}

} // namespace

backend_call::backend_call(const io::endpoint& backend, const backend_request& request,
                           milliseconds idle_timeout, QObject* parent)
    : QObject(parent),
      connection_(new io::backend_connection(backend, idle_timeout, this)),
      idle_timeout_(idle_timeout), idle_timer_([this] {
        end(backend_result::timed_out, "the backend server is silent");
      }),
      has_no_body_(request.method == "HEAD") {
  // The backend server runs on the same VM, and may read a large request slowly.
  connection_->detects_lost_peer = false;
  connection_->on_head = [this](const io::http_head& head) { handle_head(head); };
  connection_->on_body = [this](const std::string& piece) { handle_body(piece); };
  connection_->on_done = [this] { handle_done(); };
  connection_->on_failed = [this](io::exchange_failure why) { handle_failure(why); };
  connection_->send(to_text(request, backend), has_no_body_);
  idle_timer_.start(idle_timeout_);
}

void backend_call::abort() {
  ended_ = true;
  idle_timer_.stop();
  connection_->abort();
}

void backend_call::handle_head(const io::http_head& from) {
  idle_timer_.start(idle_timeout_);
  backend_head head;
  head.status = static_cast<std::uint16_t>(from.status);
  const auto metadata = platform::parse_response_head(from);
  head.is_refusal = metadata.not_run && from.status >= io::http_status::redirect;
  head.retry_after = metadata.backoff.value_or(milliseconds(0));
  for (const auto& it : from.fields) {
    if (!is_own_header(it.name) && !io::is_hop_by_hop(from, it.name)) {
      wire::HeaderT header;
      header.name = it.name;
      header.value = it.value;
      head.headers.push_back(std::move(header));
    }
  }
  constexpr std::string_view media_type = "text/event-stream";
  const auto* type = io::find_field(from, "content-type");
  is_event_stream_ =
      type != nullptr &&
      io::equal_ignoring_case(std::string_view(*type).substr(0, media_type.size()),
                              media_type);
  is_delimited_ = from.length || from.is_chunked;
  constexpr unsigned no_content = 204;
  constexpr unsigned not_modified = 304;
  has_no_body_ = has_no_body_ || from.status == no_content || from.status == not_modified;
  if (on_head) {
    on_head(head);
  }
}

void backend_call::handle_body(std::string_view piece) {
  idle_timer_.start(idle_timeout_);
  if (is_event_stream_) {
    const auto n = read_piece(stream_end_, piece);
    piece = is_delimited_ ? piece : piece.substr(0, n);
  }
  if (on_data && !piece.empty()) {
    on_data(as_bytes(piece));
  }
  // Neither later bytes nor how the connection ends matters after the end marker.
  if (stream_end_.has_ended && !is_delimited_) {
    end(backend_result::complete, {});
  }
}

// A body that ends with the connection cannot be distinguished from a truncated one.
void backend_call::handle_done() {
  const bool is_whole =
      has_no_body_ ||
      (is_event_stream_ ? is_whole_stream(stream_end_, is_delimited_) : is_delimited_);
  if (is_whole) {
    end(backend_result::complete, {});
  } else {
    end(backend_result::truncated, "the answer is not whole");
  }
}

void backend_call::handle_failure(io::exchange_failure why) {
  const auto result =
      io::is_unconnected(why) ? backend_result::not_reached : backend_result::truncated;
  end(result, "exchange failed: " + std::string(io::name(why)));
}

void backend_call::end(backend_result result, const std::string& detail) {
  if (ended_) {
    return;
  }
  abort();
  if (on_end) {
    on_end(result, detail);
  }
}

backend_client::backend_client(io::endpoint backend, milliseconds idle_timeout,
                               QObject* parent)
    : QObject(parent), backend_(std::move(backend)), idle_timeout_(idle_timeout) {}

backend_call* backend_client::start(const backend_request& request) {
  return new backend_call(backend_, request, idle_timeout_, this);
}

} // namespace marigoldstep::agent
