#include "marigoldstep/io/fleet_ports.h"

#include <charconv>

namespace marigoldstep::io {

namespace {

std::uint16_t parse_port(const std::string& text) {
  std::uint16_t port = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
  return ec == std::errc() && end == text.data() + text.size() ? port : 0;
}

} // namespace

std::uint16_t port_of(std::uint16_t first_port, fleet_port which) {
  return static_cast<std::uint16_t>(first_port + static_cast<std::uint16_t>(which));
}

std::uint16_t read_first_port(yaml_mapping& map) {
  const auto range = read_strings(map, "ports");
  const auto first = range.size() == 2 ? parse_port(range[0]) : std::uint16_t{0};
  const auto last = range.size() == 2 ? parse_port(range[1]) : std::uint16_t{0};
  constexpr auto needed = static_cast<int>(fleet_port::count);
  if (first == 0 || last - first + 1 < needed) {
    add_problem(map, "ports",
                "must be the first and last of at least " + std::to_string(needed) +
                    " ports");
    return 0;
  }
  return first;
}

std::vector<endpoint> read_endpoints(yaml_mapping& map, const std::string& key) {
  std::vector<endpoint> out;
  for (const auto& text : read_strings(map, key)) {
    out.push_back(parse_endpoint(text));
    if (out.back().host.empty()) {
      add_problem(map, key, "must be addresses and ports, such as 127.0.0.1:7000");
    }
  }
  return out;
}

endpoint read_endpoint(yaml_mapping& map, const std::string& key) {
  const auto text = read_string(map, key);
  if (text.empty()) {
    return {};
  }
  auto out = parse_endpoint(text);
  // Port 0 is valid for listening: the system picks a free port, which is logged.
  if (out.host.empty()) {
    add_problem(map, key, "must be an address and a port, such as 127.0.0.1:7000");
  }
  return out;
}

std::vector<std::string> hosts_of(const std::vector<endpoint>& list) {
  std::vector<std::string> out;
  out.reserve(list.size());
  for (const auto& it : list) {
    out.push_back(it.host);
  }
  return out;
}

} // namespace marigoldstep::io
