// Escaping of text in request targets.
#pragma once

#include <string>
#include <string_view>

namespace bendtide::wire {

/// Percent-encodes every byte except letters, digits, "-", "_", ".", "/" and "~".
std::string escape(std::string_view text);

}  // namespace bendtide::wire
