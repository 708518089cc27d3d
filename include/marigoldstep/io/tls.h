#pragma once

#include "marigoldstep/yaml_reader.h"

#include <QSslConfiguration>

#include <string>
#include <system_error>

namespace marigoldstep::io {

// PEM files for mutual TLS between the fleet's processes. Either all three are set, or
// none for plain TCP.
struct tls_files {
  std::string certificate; // of this node, signed by authority
  std::string key;
  std::string authority;

  friend bool operator==(const tls_files&, const tls_files&) = default;
};

// DNS subject alternative name of every node certificate. Nodes are addressed by IP
// and replaced often, so the fleet shares one name.
inline constexpr const char* fleet_certificate_name = "marigoldstep-fleet";

// Reads the optional mapping "tls" with certificate, key and authority.
tls_files parse_tls(yaml_mapping& map);

// Enables mutual TLS for all framed connections and listeners of this process, or
// leaves it off when files is empty. Returns errc::bad_setting when a file cannot be
// read or contains no valid PEM.
std::error_code use_tls(const tls_files& files);

bool tls_enabled();

// The configuration for a new connection. Files that changed on disk are reloaded, so
// that keys can be replaced without a restart. If the new files are unusable, logs a
// warning and keeps the previous configuration.
QSslConfiguration tls_configuration();

} // namespace marigoldstep::io
