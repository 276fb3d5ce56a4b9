// The settings file that the platform hands over.
#pragma once

#include <stdexcept>
#include <string>

#include "core/model/settings.h"

namespace bendtide {

struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Reads and checks; throws ConfigError with one line that names the field.
Settings load_settings(const std::string& path);
Settings parse_settings(const std::string& text);

}  // namespace bendtide
