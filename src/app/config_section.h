// One table of the settings file, with the path that errors name.
#pragma once

#include <toml++/toml.h>

#include <functional>
#include <string>
#include <vector>

#include "app/config.h"

namespace bendtide {

/// A view of a TOML table, which has to outlive it. Every accessor throws ConfigError, with the whole path of
/// the key, if the value does not fit.
class ConfigSection {
 public:
  /// `path`: what stands before a key of this table in errors: empty, or ending with a dot.
  ConfigSection(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

  bool has(const char* key) const { return table_.contains(key); }
  /// A string that is not empty.
  std::string string(const char* key) const;
  /// HOST:PORT
  std::string address(const char* key) const;
  double number(const char* key, double low, double high) const;
  double positive_number(const char* key) const { return number(key, 1e-6, 1e9); }
  double non_negative_or_zero(const char* key) const { return has(key) ? number(key, 0, 1e9) : 0.0; }
  std::vector<std::string> string_list(const char* key) const;
  ConfigSection section(const char* key) const;
  /// Reads each table of a list, in its order; none if the key is missing.
  void for_each_table(const char* key, const std::function<void(const ConfigSection&)>& read) const;

  [[noreturn]] void fail(const std::string& key, const std::string& problem) const {
    throw ConfigError(path_ + key, problem);
  }

 private:
  /// The value is missing, or has another type than `expected`.
  [[noreturn]] void fail_type(const char* key, const char* expected) const {
    fail(key, has(key) ? expected : "missing");
  }

  const toml::table& table_;
  std::string path_;
};

}  // namespace bendtide
