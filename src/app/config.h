// The settings file (TOML) that the platform hands over.
#pragma once

#include <stdexcept>
#include <string>

#include "core/model/settings.h"

namespace bendtide {

/// What is wrong with a settings file. `what()` is one line that names the key.
class ConfigError : public std::runtime_error {
 public:
  ConfigError(std::string key, std::string problem)
      : std::runtime_error(key.empty() ? problem : key + ": " + problem),
        key_(std::move(key)),
        problem_(std::move(problem)) {}

  /// The whole path of the key, such as "settings.teams[0].name"; empty: the file as a whole.
  const std::string& key() const { return key_; }
  const std::string& problem() const { return problem_; }

 private:
  std::string key_;
  std::string problem_;
};

/// Reads and checks a file; throws ConfigError.
[[nodiscard]] Settings load_settings(const std::string& path);
/// Reads and checks the text of a file; throws ConfigError.
[[nodiscard]] Settings parse_settings(const std::string& text);

}  // namespace bendtide
