#include "agent/orders.h"

#include "marigoldstep/io/http_status.h"
#include "marigoldstep/io/logging.h"
#include "marigoldstep/verdict.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace marigoldstep::agent {

namespace {

constexpr std::size_t max_pending_orders = 16;
// 2^53 - 1, because JSON numbers represent only 53 bits exactly.
constexpr double max_exact_integer = 9007199254740991.0;

void write_problem(io::http_connection& to, unsigned status, const outcome& result) {
  const auto code = errc_from_number(static_cast<unsigned>(result.error.value()));
  const auto text = std::string(message(code));
  const QJsonObject body{
      {"type", "about:blank"},
      {"title", QString::fromStdString(text)},
      {"status", static_cast<int>(status)},
      {"code", QString::fromStdString(std::string(name(code)))},
      {"verdict", QString::fromStdString(std::string(name(result.result)))}};
  to.respond(status, {{"Content-Type", "application/problem+json"}},
             QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString());
}

backend_request make_call(const order& from) {
  const QJsonObject body{{"kind", QString::fromStdString(from.kind)},
                         {"argument", QString::fromStdString(from.argument)},
                         {"fencing", static_cast<qint64>(from.fencing)}};
  const auto text = QJsonDocument(body).toJson(QJsonDocument::Compact);
  backend_request out;
  out.method = "POST";
  out.path = "/admin/orders";
  out.headers.emplace_back();
  out.headers.back().name = "Content-Type";
  out.headers.back().value = "application/json";
  out.body.assign(text.begin(), text.end());
  return out;
}

void log_order(const order& command, std::string_view result) {
  io::log_event(io::log_level::info, "order",
                {{"kind", command.kind},
                 {"argument", command.argument},
                 {"fencing", std::to_string(command.fencing)},
                 {"result", std::string(result)}});
}

} // namespace

std::optional<order> parse_order(const QByteArray& body) {
  const auto root = QJsonDocument::fromJson(body).object();
  const auto fencing = root["fencing"].toDouble(0);
  const bool usable = root["kind"].isString() && root["argument"].isString() &&
                      fencing >= 1 && fencing <= max_exact_integer;
  if (!usable) {
    return std::nullopt;
  }
  return order{root["kind"].toString().toStdString(),
               root["argument"].toString().toStdString(),
               static_cast<std::uint64_t>(fencing)};
}

void order_forwarder::submit(const QByteArray& body, io::http_connection& from) {
  const auto command = parse_order(body);
  if (!command) {
    write_problem(from, io::http_status::bad_request, not_run(errc::bad_request));
    return;
  }
  const bool checked_here = !server_checks_fencing || !server_checks_fencing();
  if (checked_here && command->fencing <= last_fencing_) {
    log_order(*command, name(errc::stale_fencing_token));
    write_problem(from, io::http_status::conflict, not_run(errc::stale_fencing_token));
    return;
  }
  if (pending_.size() >= max_pending_orders) {
    write_problem(from, io::http_status::unavailable, not_run(errc::queue_full));
    return;
  }
  last_fencing_ = std::max(last_fencing_, command->fencing);
  pending_.push_back({*command, &from, 0, {}});
  send_next();
}

void order_forwarder::send_next() {
  if (call_ != nullptr || pending_.empty()) {
    return;
  }
  call_ = backend_.start(make_call(pending_.front().command));
  call_->on_head = [this](const backend_head& head) {
    pending_.front().status = head.status;
  };
  call_->on_data = [this](byte_view chunk) {
    pending_.front().response += as_text(chunk);
  };
  call_->on_end = [this](backend_result result, const std::string&) { finish(result); };
}

void order_forwarder::finish(backend_result result) {
  call_->deleteLater();
  call_ = nullptr;
  auto done = std::move(pending_.front());
  pending_.pop_front();
  const bool is_complete = result == backend_result::complete;
  log_order(done.command,
            is_complete ? "status " + std::to_string(done.status) : "failed");
  if (done.from && is_complete) {
    done.from->respond(done.status, {{"Content-Type", "application/json"}},
                       done.response);
  } else if (done.from) {
    write_problem(*done.from, io::http_status::bad_gateway,
                  result == backend_result::not_reached
                      ? not_run(errc::server_unreachable)
                      : may_have_run(errc::answer_truncated));
  }
  send_next();
}

} // namespace marigoldstep::agent
