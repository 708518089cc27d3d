#pragma once

#include "marigoldstep/types.h"

#include <yaml-cpp/yaml.h>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldstep {

// A problem in a YAML document. line counts from 1; 0 when the problem concerns the
// whole file.
struct yaml_problem {
  std::string file;
  int line = 0;
  std::string key;
  std::string text;

  friend bool operator==(const yaml_problem&, const yaml_problem&) = default;
};

// Formats a problem as "file:line: key: text", the format of all programs.
std::string to_string(const yaml_problem& problem);

// Problems found in one document. Reading continues after a problem, so that the user
// sees all of them at once.
struct yaml_report {
  std::string file;
  std::vector<yaml_problem> problems;
};

void add_problem(yaml_report& report, int line, std::string key, std::string text);

// A mapping being read. Every read_ function adds its key to known_keys, from which
// report_unknown_keys() finds the keys that no function read.
struct yaml_mapping {
  YAML::Node node;
  std::string path; // dotted path of the mapping; empty for the root
  yaml_report* report = nullptr;
  std::set<std::string> known_keys;
};

// Parses text and returns its root mapping. Reports a syntax error, or a document that
// isn't a mapping, and returns an empty mapping.
yaml_mapping parse_yaml(std::string_view text, yaml_report& report);

bool has_key(const yaml_mapping& map, const std::string& key);
int line_of(const yaml_mapping& map, const std::string& key);
std::string path_of(const yaml_mapping& map, const std::string& key);
void add_problem(yaml_mapping& map, const std::string& key, std::string text);

// Read a scalar. Return the fallback for a missing key, and for an invalid value, which
// is reported. The overload without a fallback reports a missing key.
std::string read_string(yaml_mapping& map, const std::string& key);
std::string read_string(yaml_mapping& map, const std::string& key,
                        std::string_view fallback);
std::int64_t read_integer(yaml_mapping& map, const std::string& key,
                          std::int64_t fallback, std::int64_t low, std::int64_t high);
double read_number(yaml_mapping& map, const std::string& key, double fallback, double low,
                   double high);
bool read_bool(yaml_mapping& map, const std::string& key, bool fallback);
// Reads an integer number of milliseconds.
milliseconds read_duration_ms(yaml_mapping& map, const std::string& key,
                              milliseconds fallback, milliseconds low, milliseconds high);
// Reads one of choices. Another value is reported, with the list of choices.
std::string read_choice(yaml_mapping& map, const std::string& key,
                        std::string_view fallback,
                        const std::vector<std::string>& choices);
std::vector<std::string> read_strings(yaml_mapping& map, const std::string& key);
// Reads a nested mapping; empty when the key is missing.
yaml_mapping read_mapping(yaml_mapping& map, const std::string& key);
// Reads a list of mappings; empty when the key is missing.
std::vector<yaml_mapping> read_mappings(yaml_mapping& map, const std::string& key);
// The keys of the mapping in file order, for mappings whose keys are names.
std::vector<std::string> keys(const yaml_mapping& map);

// Reports keys that no read_ function read, and duplicate keys.
void report_unknown_keys(yaml_mapping& map);

} // namespace marigoldstep
