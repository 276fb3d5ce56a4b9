// Typed access to one table of the settings file, with errors that name the full path of the key.
#pragma once

#include <toml++/toml.h>

#include <functional>
#include <string>
#include <vector>

#include "app/config.h"

namespace bendtide {

/// A view of a TOML table; the table must outlive it. Each accessor throws ConfigError with the full path of
/// the key if the value is invalid or, unless stated otherwise, missing.
class ConfigSection {
 public:
  /// `path`: the prefix of this table's keys in error messages; empty, or ending with a dot.
  ConfigSection(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

  bool has(const char* key) const { return table_.contains(key); }
  /// Returns a non-empty string.
  std::string string(const char* key) const;
  /// Returns an address of the form HOST:PORT.
  std::string address(const char* key) const;
  /// Returns a finite number from `low` to `high`, both included.
  double number(const char* key, double low, double high) const;
  /// Returns a number from 1e-6 to 1e9.
  double positive_number(const char* key) const { return number(key, 1e-6, 1e9); }
  /// Returns a number from 0 to 1e9; 0 if the key is missing.
  double non_negative_or_zero(const char* key) const { return has(key) ? number(key, 0, 1e9) : 0.0; }
  std::vector<std::string> string_list(const char* key) const;
  /// Returns the table under `key`.
  ConfigSection section(const char* key) const;
  /// Calls `read` for each table of the list under `key`, in order. Does nothing if the key is missing.
  void for_each_table(const char* key, const std::function<void(const ConfigSection&)>& read) const;

  /// Throws a ConfigError for `key`.
  [[noreturn]] void fail(const std::string& key, const std::string& problem) const {
    throw ConfigError(path_ + key, problem);
  }

 private:
  /// Throws a ConfigError for a value that is missing or of the wrong type; `requirement` names the expected
  /// type.
  [[noreturn]] void fail_type(const char* key, const char* requirement) const {
    fail(key, has(key) ? requirement : "missing");
  }

  const toml::table& table_;
  std::string path_;
};

}  // namespace bendtide
