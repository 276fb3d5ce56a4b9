// Escaping of what becomes part of a request's target.
#pragma once

#include <string>
#include <string_view>

namespace bendtide::wire {

/// Percent-encodes all but letters, digits, "-", "_", ".", "/" and "~".
std::string escape(std::string_view text);

}  // namespace bendtide::wire
