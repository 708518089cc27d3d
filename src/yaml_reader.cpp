#include "marigoldstep/yaml_reader.h"

#include <algorithm>

namespace marigoldstep {

namespace {

int line_number(const YAML::Node& node) {
  return node.Mark().line + 1;
}

std::string join(const std::vector<std::string>& words) {
  std::string out;
  for (const auto& it : words) {
    out += (out.empty() ? "" : ", ") + it;
  }
  return out;
}

// Adds the key to the known keys and returns its node, which is undefined when the key
// is missing.
YAML::Node find_and_mark(yaml_mapping& map, const std::string& key) {
  map.known_keys.insert(key);
  if (!has_key(map, key)) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  const YAML::Node& constant = map.node;
  return constant[key];
}

template <typename T>
std::optional<T> read_scalar(yaml_mapping& map, const std::string& key,
                             const char* kind) {
  auto node = find_and_mark(map, key);
  if (!node.IsDefined()) {
    return std::nullopt;
  }
  T value{};
  if (!node.IsScalar() || !YAML::convert<T>::decode(node, value)) {
    add_problem(map, key, std::string("must be ") + kind);
    return std::nullopt;
  }
  return value;
}

template <typename T>
T check_range(yaml_mapping& map, const std::string& key, std::optional<T> value,
              T fallback, T low, T high) {
  if (!value) {
    return fallback;
  }
  if (*value >= low && *value <= high) {
    return *value;
  }
  YAML::Emitter low_text;
  low_text << low;
  YAML::Emitter high_text;
  high_text << high;
  add_problem(map, key,
              std::string("must be from ") + low_text.c_str() + " to " +
                  high_text.c_str());
  return fallback;
}

} // namespace

std::string to_string(const yaml_problem& problem) {
  std::string out = problem.file;
  if (problem.line > 0) {
    out += ":" + std::to_string(problem.line);
  }
  if (!problem.key.empty()) {
    out += ": " + problem.key;
  }
  return out + ": " + problem.text;
}

void add_problem(yaml_report& report, int line, std::string key, std::string text) {
  report.problems.push_back({report.file, line, std::move(key), std::move(text)});
}

void add_problem(yaml_mapping& map, const std::string& key, std::string text) {
  add_problem(*map.report, line_of(map, key), path_of(map, key), std::move(text));
}

yaml_mapping parse_yaml(std::string_view text, yaml_report& report) {
  yaml_mapping map{YAML::Node(YAML::NodeType::Map), "", &report, {}};
  try {
    auto node = YAML::Load(std::string(text));
    if (node.IsMap()) {
      map.node = node;
    } else {
      add_problem(report, 1, "", "the document must be a mapping of keys to values");
    }
  } catch (const YAML::Exception& e) {
    add_problem(report, e.mark.line + 1, "", "not valid YAML: " + e.msg);
  }
  return map;
}

bool has_key(const yaml_mapping& map, const std::string& key) {
  const YAML::Node& constant = map.node;
  return constant.IsMap() && constant[key].IsDefined();
}

int line_of(const yaml_mapping& map, const std::string& key) {
  const YAML::Node& constant = map.node;
  if (has_key(map, key)) {
    return line_number(constant[key]);
  }
  return constant.Mark().line < 0 ? 0 : line_number(constant);
}

std::string path_of(const yaml_mapping& map, const std::string& key) {
  return map.path.empty() ? key : map.path + "." + key;
}

std::string read_string(yaml_mapping& map, const std::string& key) {
  if (!has_key(map, key)) {
    map.known_keys.insert(key);
    add_problem(map, key, "is required");
    return {};
  }
  return read_string(map, key, "");
}

std::string read_string(yaml_mapping& map, const std::string& key,
                        std::string_view fallback) {
  return read_scalar<std::string>(map, key, "a text").value_or(std::string(fallback));
}

std::int64_t read_integer(yaml_mapping& map, const std::string& key,
                          std::int64_t fallback, std::int64_t low, std::int64_t high) {
  auto value = read_scalar<std::int64_t>(map, key, "a whole number");
  return check_range(map, key, value, fallback, low, high);
}

double read_number(yaml_mapping& map, const std::string& key, double fallback, double low,
                   double high) {
  auto value = read_scalar<double>(map, key, "a number");
  return check_range(map, key, value, fallback, low, high);
}

bool read_bool(yaml_mapping& map, const std::string& key, bool fallback) {
  return read_scalar<bool>(map, key, "true or false").value_or(fallback);
}

milliseconds read_duration_ms(yaml_mapping& map, const std::string& key,
                              milliseconds fallback, milliseconds low,
                              milliseconds high) {
  return milliseconds(
      read_integer(map, key, fallback.count(), low.count(), high.count()));
}

std::string read_choice(yaml_mapping& map, const std::string& key,
                        std::string_view fallback,
                        const std::vector<std::string>& choices) {
  auto value = read_string(map, key, fallback);
  if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
    add_problem(map, key, "must be one of " + join(choices));
    return std::string(fallback);
  }
  return value;
}

std::vector<std::string> read_strings(yaml_mapping& map, const std::string& key) {
  auto node = find_and_mark(map, key);
  std::vector<std::string> out;
  if (!node.IsDefined()) {
    return out;
  }
  if (!node.IsSequence()) {
    add_problem(map, key, "must be a list of texts");
    return out;
  }
  for (const auto& it : node) {
    if (!it.IsScalar()) {
      add_problem(map, key, "must be a list of texts");
      return {};
    }
    out.push_back(it.Scalar());
  }
  return out;
}

yaml_mapping read_mapping(yaml_mapping& map, const std::string& key) {
  auto node = find_and_mark(map, key);
  yaml_mapping out{YAML::Node(YAML::NodeType::Map), path_of(map, key), map.report, {}};
  if (!node.IsDefined() || node.IsNull()) {
    return out;
  }
  if (!node.IsMap()) {
    add_problem(map, key, "must be a mapping of keys to values");
    return out;
  }
  out.node = node;
  return out;
}

std::vector<yaml_mapping> read_mappings(yaml_mapping& map, const std::string& key) {
  auto node = find_and_mark(map, key);
  std::vector<yaml_mapping> out;
  if (!node.IsDefined() || node.IsNull()) {
    return out;
  }
  if (!node.IsSequence()) {
    add_problem(map, key, "must be a list of mappings");
    return out;
  }
  for (std::size_t i = 0; i < node.size(); ++i) {
    const auto path = path_of(map, key) + "[" + std::to_string(i) + "]";
    if (!node[i].IsMap()) {
      add_problem(*map.report, line_number(node[i]), path, "must be a mapping");
      continue;
    }
    out.push_back({node[i], path, map.report, {}});
  }
  return out;
}

std::vector<std::string> keys(const yaml_mapping& map) {
  std::vector<std::string> out;
  for (const auto& it : map.node) {
    out.push_back(it.first.Scalar());
  }
  return out;
}

void report_unknown_keys(yaml_mapping& map) {
  std::set<std::string> seen;
  for (const auto& it : map.node) {
    const auto key = it.first.Scalar();
    if (!map.known_keys.contains(key)) {
      add_problem(*map.report, line_number(it.first), path_of(map, key), "unknown key");
    } else if (!seen.insert(key).second) {
      add_problem(*map.report, line_number(it.first), path_of(map, key),
                  "key given twice");
    }
  }
}

} // namespace marigoldstep
