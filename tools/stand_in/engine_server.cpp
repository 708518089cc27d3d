#include "stand_in/engine_server.h"

#include "marigoldstep/io/clock.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace marigoldstep::stand_in {

namespace {

constexpr auto event_stream_type = "text/event-stream";

QByteArray to_bytes(const QJsonObject& root) {
  return QJsonDocument(root).toJson(QJsonDocument::Compact);
}

QJsonObject to_json(const prefix_block& block) {
  return {{"hash", QString::number(block.hash, 16)}, {"tokens", qint64(block.tokens)}};
}

// Selects a fixed share of the events as lost, the same ones for every reader.
bool is_lost(const cache_event& event, double loss) {
  constexpr std::uint64_t parts_per_million = 1'000'000;
  const auto drawn = stable_hash(std::to_string(event.sequence)) % parts_per_million;
  return static_cast<double>(drawn) < loss * static_cast<double>(parts_per_million);
}

std::string resolve_chat_user(const chat_request& request, const http_call& call) {
  return request.user.empty() ? (call.workspace + "/" + call.chat).toStdString()
                              : request.user;
}

// Detects a request that was forwarded with the headers of another chat.
bool user_matches_headers(const chat_request& request, const http_call& call) {
  const auto header_user = (call.workspace + "/" + call.chat).toStdString();
  return call.chat.isEmpty() || header_user == request.user;
}

} // namespace

engine_server::engine_server(const stand_in_settings& settings, QObject* parent)
    : stand_in_server(settings, parent), settings_(settings),
      model_(make_engine_model(settings.engine, io::now())) {
  order_state_.checks_fencing = settings.checks_fencing;
  order_state_.models.insert(settings.models.begin(), settings.models.end());
  on_call = [this](const http_call& call, response_writer* writer) {
    handle(call, writer);
  };
  on_faults = [this](const fault_settings& faults) {
    advance_model();
    model_.slow_factor = faults.slow_factor;
  };
  connect(&timer_, &QTimer::timeout, this, [this] { advance_model(); });
  timer_.setTimerType(Qt::PreciseTimer);
  timer_.setInterval(settings_.tick);
  sample_load();
}

void engine_server::handle(const http_call& call, response_writer* writer) {
  const bool post = call.method == "POST";
  if (post && call.path == "/v1/chat/completions") {
    complete_chat(call, writer);
  } else if (call.path == "/load") {
    writer->send_response(200, json_type, load_json());
  } else if (call.path == "/events") {
    const auto after = call.query.queryItemValue("after").toULongLong();
    writer->send_response(200, json_type, events_json(after));
  } else if (post && call.path == "/admin/orders") {
    handle_order(call, writer);
  } else if (call.path == "/admin/orders") {
    writer->send_response(200, json_type, render_orders(order_state_));
  } else if (post && call.path == "/admin/kv/export") {
    export_prefix(call, writer);
  } else if (post && call.path == "/admin/kv/import") {
    import_prefix(call, writer);
  } else {
    writer->send_response(404, json_type, R"({"error":"no such path"})");
  }
}

void engine_server::complete_chat(const http_call& call, response_writer* writer) {
  auto request = parse_chat_request(call.body);
  if (!request) {
    writer->send_response(400, json_type, R"({"error":"not a chat completion request"})");
    return;
  }
  request->user = resolve_chat_user(*request, call);
  if (!user_matches_headers(*request, call)) {
    writer->send_response(400, json_type, R"({"error":"user and chat headers differ"})");
    return;
  }
  if (!order_state_.models.empty() && !order_state_.models.contains(request->model)) {
    writer->send_response(404, json_type, R"({"error":"model is not loaded"})");
    return;
  }
  advance_model();
  const auto id = next_id_++;
  engine_request queued;
  queued.id = id;
  queued.urgency = call.priority == "patient" ? priority::patient : priority::short_call;
  queued.prompt = prefix_blocks(*request);
  queued.response = response_block(*request);
  active_[id] = {std::move(*request), writer, {}, 0, false};
  writer->on_caller_disconnected = [this, id] { cancel_response(id); };
  submit(model_, std::move(queued), io::now());
  sample_load();
  timer_.start();
}

void engine_server::cancel_response(std::uint64_t id) {
  active_.erase(id);
  cancel(model_, id, io::now());
  sample_load();
}

void engine_server::advance_model() {
  const auto progress = advance(model_, io::now());
  for (const auto& it : progress) {
    send_progress(it);
  }
  sample_load();
  if (model_.running.empty()) {
    timer_.stop();
  }
}

void engine_server::start_response(active_response& it, const engine_progress& progress) {
  it.started = true;
  if (!it.request.stream) {
    return;
  }
  it.events = render_events(it.request, progress.usage);
  it.writer->start(200, event_stream_type, -1);
}

void engine_server::send_progress(const engine_progress& progress) {
  const auto found = active_.find(progress.id);
  if (found == active_.end() || (progress.tokens_ready == 0 && !progress.finished)) {
    return;
  }
  auto& it = found->second;
  if (!it.started) {
    start_response(it, progress);
  }
  const auto ready = progress.finished ? it.events.size() : progress.tokens_ready;
  QByteArray data;
  while (it.events_sent < std::min(ready, it.events.size())) {
    data += it.events[it.events_sent++];
  }
  it.writer->write(data);
  if (!progress.finished) {
    return;
  }
  const auto done = std::move(it);
  active_.erase(found);
  if (done.request.stream) {
    done.writer->finish();
  } else {
    done.writer->send_response(200, json_type,
                               render_response(done.request, progress.usage));
  }
}

void engine_server::sample_load() {
  const auto now = io::now();
  samples_.push_back({now, std::uint32_t(model_.running.size()), waiting_count(model_)});
  // Keeps the newest sample that is at least load_lag old at the front.
  while (samples_.size() > 1 && samples_[1].at + settings_.load_lag <= now) {
    samples_.pop_front();
  }
}

QByteArray engine_server::load_json() {
  sample_load();
  const auto& it = samples_.front();
  return to_bytes({{"running", qint64(it.running)},
                   {"waiting", qint64(it.waiting)},
                   {"slots", qint64(settings_.engine.slots)},
                   {"cached_tokens", qint64(model_.cache.used_tokens)}});
}

QByteArray engine_server::events_json(std::uint64_t after) {
  QJsonArray events;
  const auto newest = io::now() - settings_.event_delay;
  for (const auto& it : model_.cache.events) {
    if (it.sequence <= after || it.at > newest || is_lost(it, settings_.event_loss)) {
      continue;
    }
    auto event = to_json(it.block);
    event["sequence"] = qint64(it.sequence);
    event["kind"] = it.stored ? "stored" : "evicted";
    events.append(event);
  }
  return to_bytes({{"events", events}});
}

void engine_server::export_prefix(const http_call& call, response_writer* writer) {
  const auto request = parse_chat_request(call.body);
  QJsonArray blocks;
  for (const auto& it : request ? prefix_blocks(*request) : std::vector<prefix_block>{}) {
    if (!model_.cache.blocks.contains(it.hash)) {
      break;
    }
    blocks.append(to_json(it));
  }
  writer->send_response(request ? 200 : 400, json_type, to_bytes({{"blocks", blocks}}));
}

void engine_server::import_prefix(const http_call& call, response_writer* writer) {
  std::vector<prefix_block> prefix;
  const auto document = QJsonDocument::fromJson(call.body);
  for (const auto& it : document.object()["blocks"].toArray()) {
    const auto block = it.toObject();
    prefix.push_back({block["hash"].toString().toULongLong(nullptr, 16),
                      static_cast<std::uint32_t>(block["tokens"].toInt())});
  }
  store_prefix(model_.cache, prefix, io::now());
  writer->send_response(200, json_type, to_bytes({{"imported", qint64(prefix.size())}}));
}

void engine_server::handle_order(const http_call& call, response_writer* writer) {
  switch (apply_order(order_state_, call.body)) {
  case order_result::applied:
    writer->send_response(200, json_type, render_orders(order_state_));
    break;
  case order_result::stale_fencing:
    writer->send_response(409, json_type, R"({"error":"stale fencing token"})");
    break;
  case order_result::malformed:
    writer->send_response(400, json_type, R"({"error":"unusable order"})");
    break;
  }
}

} // namespace marigoldstep::stand_in
