#pragma once

#include "marigoldstep/yaml_reader.h"

#include <QSslConfiguration>

#include <string>
#include <system_error>

namespace marigoldstep::io {

// PEM files for mutual TLS between the fleet's processes. All three are set, or
// none for plain TCP.
struct tls_files {
  std::string certificate; // of this node, signed by authority
  std::string key;
  std::string authority;

  friend bool operator==(const tls_files&, const tls_files&) = default;
};

// Name that every node certificate carries as a DNS subject alternative name.
// Nodes are addressed by IP and replaced often, so the fleet shares one name.
inline constexpr const char* fleet_certificate_name = "marigoldstep-fleet";

// Reads the optional mapping "tls" with certificate, key and authority.
tls_files parse_tls(yaml_mapping& map);

// Turns mutual TLS on for all framed connections and listeners of this process.
// With empty files it stays off. Returns errc::bad_setting when a file can't be
// read, isn't PEM, or key and certificate don't belong together.
std::error_code use_tls(const tls_files& files);

bool tls_enabled();

// The configuration for a new connection. Files that changed on disk are read
// again, so that keys are replaced without a restart; when the new files can't
// be used the old ones stay and a warning is logged.
QSslConfiguration tls_configuration();

} // namespace marigoldstep::io
