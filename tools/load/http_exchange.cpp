#include "load/http_exchange.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>

namespace marigoldstep::load {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Defined here to keep Beast's headers, which are slow to compile, out of our header.
struct http_exchange::parser_state {
  http::response_parser<http::string_body> parser;
};

namespace {

constexpr std::uint64_t max_body_bytes = 64U << 20U;

QByteArray header(const http::fields& fields, std::string_view name) {
  const auto value = fields[beast::string_view(name.data(), name.size())];
  return {value.data(), static_cast<qsizetype>(value.size())};
}

QByteArray request_text(const http_request& request) {
  QByteArray out = request.method + " " + request.path + " HTTP/1.1\r\nHost: " +
                   QByteArray::fromStdString(request.target.host) + ":" +
                   QByteArray::number(request.target.port) + "\r\nConnection: close\r\n";
  for (const auto& it : request.headers) {
    out += it.name + ": " + it.value + "\r\n";
  }
  if (request.method != "GET") {
    out += "Content-Length: " + QByteArray::number(request.body.size()) + "\r\n";
  }
  return out + "\r\n" + request.body;
}

} // namespace

http_exchange::http_exchange(http_request request, milliseconds idle_timeout,
                             QObject* parent)
    : QObject(parent), request_(std::move(request)), socket_(this),
      idle_timeout_(idle_timeout), idle_timer_([this] { finish(); }),
      parser_(std::make_unique<parser_state>()) {
  parser_->parser.eager(true);
  parser_->parser.body_limit(max_body_bytes);
  connect(&socket_, &QTcpSocket::connected, this, [this] { send_request(); });
  connect(&socket_, &QTcpSocket::readyRead, this, [this] { read_response(); });
  connect(&socket_, &QTcpSocket::errorOccurred, this,
          [this](QAbstractSocket::SocketError) { on_connection_end(); });
  idle_timer_.start(idle_timeout_);
  // Deferred to the event loop: a refused connection reports its error from within
  // connectToHost, before the owner has set its callbacks.
  QMetaObject::invokeMethod(
      this,
      [this] {
        socket_.connectToHost(QString::fromStdString(request_.target.host),
                              request_.target.port);
      },
      Qt::QueuedConnection);
}

http_exchange::~http_exchange() {
  done_ = true; // ignore the error that closing the socket emits
}

void http_exchange::send_request() {
  socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
  sent_ = true;
  socket_.write(request_text(request_));
}

void http_exchange::read_response() {
  if (done_) {
    return;
  }
  idle_timer_.start(idle_timeout_);
  input_ += socket_.readAll();
  auto& parser = parser_->parser;
  while (!input_.isEmpty() && !parser.is_done()) {
    beast::error_code ec;
    const auto used = parser.put(
        boost::asio::const_buffer(input_.constData(), std::size_t(input_.size())), ec);
    input_.remove(0, static_cast<qsizetype>(used));
    if (ec == http::error::need_more || (!ec && used == 0)) {
      break;
    }
    if (ec) {
      finish();
      return;
    }
  }
  if (!first_byte_seen_ && !parser.get().body().empty()) {
    first_byte_seen_ = true;
    if (on_first_byte) {
      on_first_byte();
    }
  }
  if (parser.is_done()) {
    finish();
  }
}

void http_exchange::on_connection_end() {
  if (done_) {
    return;
  }
  read_response();
  if (done_) {
    return;
  }
  beast::error_code ec;
  auto& parser = parser_->parser;
  if (parser.is_header_done() && parser.need_eof()) {
    parser.put_eof(ec); // a response without a length ends with the connection
  }
  finish();
}

void http_exchange::finish() {
  if (std::exchange(done_, true)) {
    return;
  }
  idle_timer_.stop();
  exchange_result out;
  out.sent = sent_;
  auto& parser = parser_->parser;
  if (parser.is_header_done()) {
    const auto& response = parser.get();
    out.status = static_cast<int>(response.result_int());
    out.complete = parser.is_done();
    out.content_type = header(response, "Content-Type");
    out.resume_token = header(response, "X-Marigoldstep-Resume");
    out.retry_after = std::chrono::seconds(header(response, "Retry-After").toInt());
    out.body = QByteArray::fromStdString(response.body());
  }
  socket_.abort();
  deleteLater();
  if (on_done) {
    std::exchange(on_done, nullptr)(std::move(out));
  }
}

} // namespace marigoldstep::load
