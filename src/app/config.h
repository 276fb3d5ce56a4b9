// Parsing and validation of the settings file (TOML).
#pragma once

#include <stdexcept>
#include <string>

#include "core/model/settings.h"

namespace bendtide {

/// An error in a settings file. `what()` is one line that starts with the key, if the error concerns one.
class ConfigError : public std::runtime_error {
 public:
  ConfigError(std::string key, std::string problem)
      : std::runtime_error(key.empty() ? problem : key + ": " + problem),
        key_(std::move(key)),
        problem_(std::move(problem)) {}

  /// The full path of the key, such as "settings.teams[0].name". Empty if the error concerns the whole file.
  const std::string& key() const { return key_; }
  const std::string& problem() const { return problem_; }

 private:
  std::string key_;
  std::string problem_;
};

/// Reads and validates a settings file. Throws ConfigError.
[[nodiscard]] Settings load_settings(const std::string& path);
/// Parses and validates the text of a settings file. Throws ConfigError.
[[nodiscard]] Settings parse_settings(const std::string& text);

}  // namespace bendtide
