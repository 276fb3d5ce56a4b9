#include "wire/query.h"

#include <cctype>

namespace bendtide::wire {

std::string escape(std::string_view text) {
  static constexpr char digits[] = "0123456789ABCDEF";
  static constexpr std::string_view unescaped = "-_./~";
  std::string escaped;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) || unescaped.find(character) != std::string_view::npos) {
      escaped += character;
    } else {
      escaped += '%';
      escaped += digits[byte >> 4];
      escaped += digits[byte & 15];
    }
  }
  return escaped;
}

}  // namespace bendtide::wire
