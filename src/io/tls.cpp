#include "marigoldstep/io/tls.h"

#include "marigoldstep/error.h"

#include "marigoldstep/io/clock.h"
#include "marigoldstep/io/logging.h"

#include <QDateTime>
#include <QFile>
#include <QFileInfo>
#include <QSslCertificate>
#include <QSslKey>

#include <optional>

namespace marigoldstep::io {

namespace {

// Minimum time between checks for changed files.
constexpr auto check_interval = milliseconds(1000);

struct tls_state {
  tls_files files;
  QSslConfiguration config;
  QDateTime modified;
  time_point checked_at{};
  bool enabled = false;
};

tls_state& state() {
  static tls_state instance;
  return instance;
}

std::optional<QByteArray> read_pem(const std::string& path) {
  QFile file(QString::fromStdString(path));
  if (!file.open(QIODevice::ReadOnly)) {
    return std::nullopt;
  }
  return file.readAll();
}

QSslKey read_key(const QByteArray& pem) {
  for (auto algorithm : {QSsl::Rsa, QSsl::Ec}) {
    QSslKey key(pem, algorithm);
    if (!key.isNull()) {
      return key;
    }
  }
  return {};
}

std::optional<QSslConfiguration> load(const tls_files& files) {
  const auto certificate_pem = read_pem(files.certificate);
  const auto key_pem = read_pem(files.key);
  const auto authority_pem = read_pem(files.authority);
  if (!certificate_pem || !key_pem || !authority_pem) {
    return std::nullopt;
  }
  const QSslCertificate certificate(*certificate_pem);
  const auto key = read_key(*key_pem);
  const auto authorities = QSslCertificate::fromData(*authority_pem);
  if (certificate.isNull() || key.isNull() || authorities.isEmpty()) {
    return std::nullopt;
  }
  QSslConfiguration config;
  config.setProtocol(QSsl::TlsV1_3OrLater);
  config.setCaCertificates(authorities);
  config.setLocalCertificate(certificate);
  config.setPrivateKey(key);
  config.setPeerVerifyMode(QSslSocket::VerifyPeer);
  return config;
}

QDateTime last_modified(const tls_files& files) {
  QDateTime newest;
  for (const auto& it : {files.certificate, files.key, files.authority}) {
    newest = std::max(newest, QFileInfo(QString::fromStdString(it)).lastModified());
  }
  return newest;
}

void reload_when_changed(tls_state& current) {
  if (now() - current.checked_at < check_interval) {
    return;
  }
  current.checked_at = now();
  const auto modified = last_modified(current.files);
  if (modified == current.modified) {
    return;
  }
  current.modified = modified;
  if (const auto config = load(current.files)) {
    current.config = *config;
    log_event(log_level::info, "tls_keys_reloaded",
              {{"file", current.files.certificate}});
  } else {
    log_event(
        log_level::warning, "tls_keys_unusable",
        {{"file", current.files.certificate}, {"action", "previous keys stay in use"}});
  }
}

} // namespace

tls_files parse_tls(yaml_mapping& map) {
  tls_files out;
  if (!has_key(map, "tls")) {
    map.known_keys.insert("tls");
    return out;
  }
  auto sub = read_mapping(map, "tls");
  out.certificate = read_string(sub, "certificate");
  out.key = read_string(sub, "key");
  out.authority = read_string(sub, "authority");
  report_unknown_keys(sub);
  return out;
}

std::error_code use_tls(const tls_files& files) {
  if (files == tls_files{}) {
    return {};
  }
  const auto config = load(files);
  if (!config) {
    return make_error_code(errc::bad_setting);
  }
  state() = {files, *config, last_modified(files), now(), true};
  return {};
}

bool tls_enabled() {
  return state().enabled;
}

QSslConfiguration tls_configuration() {
  reload_when_changed(state());
  return state().config;
}

} // namespace marigoldstep::io
