#pragma once

#include "marigoldstep/types.h"

#include <yaml-cpp/yaml.h>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldstep {

// One problem in a YAML document. line counts from 1; 0 when it concerns the
// whole file.
struct yaml_problem {
  std::string file;
  int line = 0;
  std::string key;
  std::string text;

  friend bool operator==(const yaml_problem&, const yaml_problem&) = default;
};

// "file:line: key: text", the form in which every program prints a problem.
std::string to_string(const yaml_problem& problem);

// Problems found while one document is read. Reading goes on after a problem,
// so that a user sees all of them at once.
struct yaml_report {
  std::string file;
  std::vector<yaml_problem> problems;
};

void add_problem(yaml_report& report, int line, std::string key, std::string text);

// A mapping being read. Every read_ function marks its key as known_keys;
// report_unknown_keys() reports the keys that were never asked for.
struct yaml_mapping {
  YAML::Node node;
  std::string path; // dotted path of the mapping, empty at the top
  yaml_report* report = nullptr;
  std::set<std::string> known_keys;
};

// Parses text and returns its top mapping. A syntax error, or a document that
// is not a mapping, is reported and yields an empty mapping.
yaml_mapping parse_yaml(std::string_view text, yaml_report& report);

bool has_key(const yaml_mapping& map, const std::string& key);
int line_of(const yaml_mapping& map, const std::string& key);
std::string path_of(const yaml_mapping& map, const std::string& key);
void add_problem(yaml_mapping& map, const std::string& key, std::string text);

// Read a scalar; a missing key yields the default. The variants without a
// default report a missing key.
std::string read_string(yaml_mapping& map, const std::string& key);
std::string read_string(yaml_mapping& map, const std::string& key,
                        std::string_view fallback);
std::int64_t read_integer(yaml_mapping& map, const std::string& key,
                          std::int64_t fallback, std::int64_t low, std::int64_t high);
double read_number(yaml_mapping& map, const std::string& key, double fallback, double low,
                   double high);
bool read_bool(yaml_mapping& map, const std::string& key, bool fallback);
// A whole number of milliseconds.
duration read_duration_ms(yaml_mapping& map, const std::string& key, duration fallback,
                          duration low, duration high);
// One of choices; anything else is reported with the list.
std::string read_choice(yaml_mapping& map, const std::string& key,
                        std::string_view fallback,
                        const std::vector<std::string>& choices);
std::vector<std::string> read_strings(yaml_mapping& map, const std::string& key);
// Sub-mapping; empty when the key is missing.
yaml_mapping read_mapping(yaml_mapping& map, const std::string& key);
// List of mappings; empty when the key is missing.
std::vector<yaml_mapping> read_mappings(yaml_mapping& map, const std::string& key);
// The keys of a mapping in file order, for mappings keyed by name.
std::vector<std::string> keys(const yaml_mapping& map);

// Reports every key that no read_ function asked for.
void report_unknown_keys(yaml_mapping& map);

} // namespace marigoldstep
