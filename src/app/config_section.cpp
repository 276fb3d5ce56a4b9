#include "app/config_section.h"

#include <cmath>

namespace bendtide {

std::string ConfigSection::string(const char* key) const {
  auto value = table_[key].value<std::string>();
  if (!value) fail_type(key, "must be a string");
  if (value->empty()) fail(key, "must not be empty");
  return *value;
}

std::string ConfigSection::address(const char* key) const {
  std::string value = string(key);
  const auto colon = value.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == value.size() ||
      value.find_first_not_of("0123456789", colon + 1) != std::string::npos)
    fail(key, "must be HOST:PORT");
  return value;
}

double ConfigSection::number(const char* key, double low, double high) const {
  const auto value = table_[key].value<double>();
  if (!value) fail_type(key, "must be a number");
  if (!std::isfinite(*value) || *value < low || *value > high) fail(key, "out of range");
  return *value;
}

std::vector<std::string> ConfigSection::string_list(const char* key) const {
  const toml::array* list = table_[key].as_array();
  if (list == nullptr) fail_type(key, "must be a list");
  std::vector<std::string> strings;
  for (const toml::node& node : *list) {
    auto text = node.value<std::string>();
    if (!text) fail(key, "must be a list of strings");
    strings.push_back(*text);
  }
  return strings;
}

ConfigSection ConfigSection::section(const char* key) const {
  const toml::table* table = table_[key].as_table();
  if (table == nullptr) fail_type(key, "must be a table");
  return {*table, path_ + key + "."};
}

void ConfigSection::for_each_table(const char* key,
                                   const std::function<void(const ConfigSection&)>& read) const {
  if (!has(key)) return;
  const toml::array* list = table_[key].as_array();
  if (list == nullptr) fail(key, "must be a list of tables");
  std::size_t index = 0;
  for (const toml::node& node : *list) {
    const std::string path = path_ + key + "[" + std::to_string(index) + "].";
    if (!node.is_table()) throw ConfigError(path, "must be a table");
    read(ConfigSection(*node.as_table(), path));
    ++index;
  }
}

}  // namespace bendtide
