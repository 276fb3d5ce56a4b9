#include "wire/query.h"

#include <cctype>

namespace bendtide::wire {

std::string escape(std::string_view text) {
  static constexpr char kDigits[] = "0123456789ABCDEF";
  static constexpr std::string_view kPlain = "-_./~";
  std::string escaped;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) || kPlain.find(character) != std::string_view::npos) {
      escaped += character;
    } else {
      escaped += '%';
      escaped += kDigits[byte >> 4];
      escaped += kDigits[byte & 15];
    }
  }
  return escaped;
}

}  // namespace bendtide::wire
