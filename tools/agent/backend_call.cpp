#include "agent/backend_call.h"

#include <QNetworkProxy>
#include <QUrl>

#include <algorithm>
#include <array>
#include <string_view>

namespace marigoldstep::agent {

namespace {

// Each call has its own connection, which Qt's manager keeps for two minutes. A new
// manager after this many calls limits the number of kept connections.
constexpr std::uint64_t calls_per_manager = 64;

constexpr std::array<std::string_view, 12> hop_by_hop_headers = {
    "connection", "keep-alive",     "proxy-authenticate", "proxy-authorization",
    "te",         "trailer",        "transfer-encoding",  "upgrade",
    "host",       "content-length", "accept-encoding",    "expect"};

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

bool is_forwarded(std::string_view header) {
  return std::find(hop_by_hop_headers.begin(), hop_by_hop_headers.end(), lower(header)) ==
         hop_by_hop_headers.end();
}

// Request body that can be read only once. Qt resends a request if the connection closes
// before the first byte of the response, which could run a call twice. It does not resend
// a body that cannot be rewound.
class non_rewindable_body : public QIODevice {
public:
  explicit non_rewindable_body(const bytes& body)
      : data_(reinterpret_cast<const char*>(body.data()),
              static_cast<qsizetype>(body.size())) {
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
  }

  [[nodiscard]] qint64 size() const override { return data_.size(); }
  bool reset() override { return false; }
  bool seek(qint64 /*position*/) override { return false; }
  [[nodiscard]] bool atEnd() const override { return used_ >= data_.size(); }

protected:
  qint64 readData(char* out, qint64 limit) override {
    const auto n = std::min<qint64>(limit, data_.size() - used_);
    if (n == 0) {
      return -1;
    }
    std::copy_n(data_.constData() + used_, n, out);
    used_ += n;
    return n;
  }
  qint64 writeData(const char* /*data*/, qint64 /*size*/) override { return -1; }

private:
  QByteArray data_;
  qsizetype used_ = 0;
};

// Whether Qt reports only the HTTP status of a complete response as this error.
bool is_status_error(QNetworkReply::NetworkError error) {
  const bool content = error >= QNetworkReply::ContentAccessDenied &&
                       error <= QNetworkReply::UnknownContentError &&
                       error != QNetworkReply::ContentReSendError;
  const bool server = error >= QNetworkReply::InternalServerError &&
                      error <= QNetworkReply::UnknownServerError;
  return content || server;
}

QNetworkRequest make_request(const io::endpoint& backend, const backend_request& from) {
  const auto url = "http://" + backend.host + ":" + std::to_string(backend.port);
  QNetworkRequest out(QUrl::fromEncoded(QByteArray::fromStdString(url + from.path)));
  out.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                   QNetworkRequest::ManualRedirectPolicy);
  out.setAttribute(QNetworkRequest::CacheLoadControlAttribute,
                   QNetworkRequest::AlwaysNetwork);
  out.setAttribute(QNetworkRequest::CookieLoadControlAttribute, QNetworkRequest::Manual);
  out.setAttribute(QNetworkRequest::CookieSaveControlAttribute, QNetworkRequest::Manual);
  out.setAttribute(QNetworkRequest::AuthenticationReuseAttribute,
                   QNetworkRequest::Manual);
  out.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
  out.setHeader(QNetworkRequest::ContentTypeHeader, "application/octet-stream");
  for (const auto& it : from.headers) {
    const bool one_line = it.value.find_first_of("\r\n") == std::string::npos;
    if (is_forwarded(it.name) && one_line) {
      out.setRawHeader(QByteArray::fromStdString(it.name),
                       QByteArray::fromStdString(it.value));
    }
  }
  out.setRawHeader("Connection", "close");
  // Prevents Qt from decompressing, which would change the length of the response.
  out.setRawHeader("Accept-Encoding", "identity");
  return out;
}

} // namespace

backend_call::backend_call(std::shared_ptr<QNetworkAccessManager> manager,
                           QNetworkReply* reply, bool has_body, milliseconds idle_timeout,
                           QObject* parent)
    : QObject(parent), manager_(std::move(manager)), reply_(reply),
      expects_body_(has_body) {
  idle_timer_.setSingleShot(true);
  connect(&idle_timer_, &QTimer::timeout, this,
          [this] { end(backend_result::timed_out, "the backend server is silent"); });
  connect(reply_, &QNetworkReply::socketStartedConnecting, this,
          [this] { ++connect_attempts_; });
  connect(reply_, &QNetworkReply::requestSent, this, [this] { request_sent_ = true; });
  connect(reply_, &QNetworkReply::metaDataChanged, this, [this] { read_head(); });
  connect(reply_, &QNetworkReply::readyRead, this, [this] { read_data(); });
  connect(reply_, &QNetworkReply::finished, this, [this] { finish(); });
  idle_timer_.start(idle_timeout);
}

backend_call::~backend_call() {
  abort();
}

void backend_call::abort() {
  ended_ = true;
  idle_timer_.stop();
  if (reply_ == nullptr) {
    return;
  }
  reply_->disconnect(this);
  reply_->abort();
  reply_->deleteLater();
  reply_ = nullptr;
}

void backend_call::read_head() {
  const auto status = reply_->attribute(QNetworkRequest::HttpStatusCodeAttribute);
  // Qt takes an informational response other than 100 for the final one and reads nothing
  // after it.
  constexpr int first_final_status = 200;
  if (has_head_ || !status.isValid() || status.toInt() < first_final_status) {
    return;
  }
  has_head_ = true;
  idle_timer_.start();
  backend_head head;
  head.status = static_cast<std::uint16_t>(status.toInt());
  constexpr int no_content = 204;
  constexpr int not_modified = 304;
  if (head.status == no_content || head.status == not_modified) {
    expects_body_ = false;
  }
  for (const auto& [name, value] : reply_->rawHeaderPairs()) {
    if (is_forwarded(name.toStdString())) {
      wire::HeaderT header;
      header.name = name.toStdString();
      header.value = value.toStdString();
      head.headers.push_back(std::move(header));
    }
  }
  is_event_stream_ =
      reply_->rawHeader("Content-Type").toLower().startsWith("text/event-stream");
  if (on_head) {
    on_head(head);
  }
  // Qt would wait for the announced body of a response to HEAD.
  if (!expects_body_) {
    end(backend_result::complete, {});
  }
}

// Whether the response's framing tells where its body ends.
bool backend_call::has_delimited_body() const {
  return !reply_->rawHeader("Content-Length").isEmpty() ||
         reply_->rawHeader("Transfer-Encoding").toLower().contains("chunked");
}

void backend_call::read_data() {
  read_head();
  if (reply_ == nullptr) {
    return;
  }
  const auto chunk = reply_->readAll();
  if (chunk.isEmpty()) {
    return;
  }
  idle_timer_.start();
  auto size = static_cast<std::size_t>(chunk.size());
  received_bytes_ += size;
  if (is_event_stream_) {
    const auto n = read_piece(stream_end_, {chunk.constData(), size});
    size = has_delimited_body() ? size : n;
  }
  if (on_data && size > 0) {
    on_data(as_bytes({chunk.constData(), size}));
  }
  // Neither later bytes nor how the connection ends matters after the end marker.
  if (reply_ != nullptr && stream_end_.has_ended && !has_delimited_body()) {
    end(backend_result::complete, {});
  }
}

bool backend_call::is_complete() const {
  // Qt reports a chunked body without its last chunk as an error. A body that ends with
  // the connection cannot be distinguished from a truncated one.
  bool is_delimited =
      reply_->rawHeader("Transfer-Encoding").toLower().contains("chunked");
  const auto length = reply_->rawHeader("Content-Length");
  if (!length.isEmpty()) {
    bool ok = false;
    const auto announced = length.toULongLong(&ok);
    is_delimited = ok && announced == received_bytes_;
  }
  return is_event_stream_ ? is_whole_stream(stream_end_, is_delimited) : is_delimited;
}

// A refused connection proves that the call did not run only at the first connection
// attempt. After a lost connection Qt may connect again, and that may be refused.
bool backend_call::connection_failed_before_send() const {
  const auto error = reply_->error();
  const bool refused = error == QNetworkReply::ConnectionRefusedError ||
                       error == QNetworkReply::HostNotFoundError;
  return refused && !has_head_ && !request_sent_ && connect_attempts_ <= 1;
}

void backend_call::finish() {
  read_data();
  if (ended_) {
    return;
  }
  const auto error = reply_->error();
  const bool failed = error != QNetworkReply::NoError && !is_status_error(error);
  const auto detail = reply_->errorString().toStdString();
  if (connection_failed_before_send()) {
    end(backend_result::not_reached, detail);
  } else if (failed || !has_head_ || !is_complete()) {
    end(backend_result::truncated, failed ? detail : "the answer is not whole");
  } else {
    end(backend_result::complete, {});
  }
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

void backend_client::renew_manager() {
  if (manager_ == nullptr || calls_ % calls_per_manager == 0) {
    manager_ = std::make_shared<QNetworkAccessManager>();
    // The backend server runs on the same VM. With a proxy, a refused connection would
    // also not prove that the call did not run.
    manager_->setProxy(QNetworkProxy::NoProxy);
  }
}

backend_call* backend_client::start(const backend_request& request) {
  renew_manager();
  auto out = make_request(backend_, request);
  // A unique peer name gives this call its own connection. Otherwise Qt uses at most six
  // connections for all calls to a host, and reuses open ones.
  out.setPeerVerifyName("call-" + QString::number(calls_));
  ++calls_;
  auto* body = new non_rewindable_body(request.body);
  auto* reply =
      manager_->sendCustomRequest(out, QByteArray::fromStdString(request.method), body);
  body->setParent(reply);
  const bool has_body = request.method != "HEAD";
  return new backend_call(manager_, reply, has_body, idle_timeout_, this);
}

} // namespace marigoldstep::agent
