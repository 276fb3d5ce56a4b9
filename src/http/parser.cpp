#include <algorithm>
#include <charconv>

#include "http/message.h"

namespace bendtide::http {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return to_lower(x) == to_lower(y); });
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

/// Whether `text` is a token as defined by RFC 9110, section 5.6.2.
bool is_token(std::string_view text) {
  constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (to_lower(c) >= 'a' && to_lower(c) <= 'z') ||
           punctuation.find(c) != std::string_view::npos;
  });
}

/// Parses a non-negative integer that makes up the whole text.
std::optional<std::size_t> parse_number(std::string_view text, int base) {
  std::size_t number = 0;
  if (text.empty()) return std::nullopt;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number, base);
  if (error != std::errc{} || rest != end) return std::nullopt;
  return number;
}

ParseResult malformed(int status) {
  ParseResult result;
  result.state = ParseResult::State::malformed;
  result.status = status;
  return result;
}

/// The start line and the headers of a message, with the framing of its body.
struct Head {
  Message message;
  std::optional<std::size_t> content_length;
  bool chunked = false;
};

/// Splits the head of a message into lines.
class LineReader {
 public:
  explicit LineReader(std::string_view text) : rest_(text) {}

  bool at_end() const { return rest_.empty(); }
  /// Returns the next line, without its line end.
  std::string_view next() {
    const auto end = rest_.find(kLineEnd);
    const std::string_view line = rest_.substr(0, end);
    rest_ = end == std::string_view::npos ? std::string_view{} : rest_.substr(end + kLineEnd.size());
    return line;
  }

 private:
  std::string_view rest_;
};

/// Whether `target` is a path that contains no control characters or spaces.
bool is_target(std::string_view target) {
  return !target.empty() && target.front() == '/' && std::all_of(target.begin(), target.end(), [](char c) {
    return static_cast<unsigned char>(c) > ' ' && c != 127;
  });
}

/// Parses the head of a message. Use an instance for one message only.
class HeadParser {
 public:
  /// Returns no value if the head is malformed.
  std::optional<Head> parse(std::string_view text, Kind kind) {
    LineReader lines(text);
    const std::string_view first = lines.next();
    if (!(kind == Kind::request ? read_request_line(first) : read_status_line(first))) return std::nullopt;
    while (!lines.at_end())
      if (!read_header(lines.next())) return std::nullopt;
    if (head_.chunked && head_.content_length) return std::nullopt;
    return std::move(head_);
  }

 private:
  // These functions return false if their input is malformed.

  bool read_version(std::string_view version) {
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
    head_.message.keep_alive = version == "HTTP/1.1";
    return true;
  }

  /// Reads "METHOD TARGET VERSION".
  bool read_request_line(std::string_view line) {
    const auto first = line.find(' ');
    if (first == std::string_view::npos) return false;
    const auto second = line.find(' ', first + 1);
    if (second == std::string_view::npos) return false;
    head_.message.method = line.substr(0, first);
    head_.message.target = line.substr(first + 1, second - first - 1);
    if (!is_token(head_.message.method) || !is_target(head_.message.target)) return false;
    return read_version(line.substr(second + 1));
  }

  /// Reads "VERSION STATUS REASON".
  bool read_status_line(std::string_view line) {
    const auto first = line.find(' ');
    if (first == std::string_view::npos) return false;
    const auto status = parse_number(line.substr(first + 1, 3), 10);
    if (!status || *status < 100 || *status > 599) return false;
    head_.message.status = static_cast<int>(*status);
    return read_version(line.substr(0, first));
  }

  /// Evaluates the headers that determine the length of the body and whether the connection stays open.
  bool interpret_header(std::string_view name, std::string_view value) {
    if (name == "content-length") {
      const auto length = parse_number(value, 10);
      if (!length || (head_.content_length && *head_.content_length != *length)) return false;
      head_.content_length = length;
    } else if (name == "transfer-encoding") {
      if (!equals_ignoring_case(value, "chunked")) return false;
      head_.chunked = true;
    } else if (name == "connection") {
      if (equals_ignoring_case(value, "close")) head_.message.keep_alive = false;
      if (equals_ignoring_case(value, "keep-alive")) head_.message.keep_alive = true;
    }
    return true;
  }

  bool read_header(std::string_view line) {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return false;
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(), to_lower);
    const std::string_view value = trim(line.substr(colon + 1));
    if (!interpret_header(name, value)) return false;
    head_.message.headers.emplace_back(std::move(name), std::string(value));
    return true;
  }

  Head head_;
};

/// Reads the body that starts at a position of a text. The text may end before the body does.
class BodyReader {
 public:
  BodyReader(std::string_view text, std::size_t position, const Limits& limits)
      : text_(text), position_(position), limits_(limits) {}

  ParseResult::State read_chunks() {
    for (;;) {
      const auto end = text_.find(kLineEnd, position_);
      if (end == std::string_view::npos) return missing_line_end();
      const std::string_view line = text_.substr(position_, end - position_);
      const auto size = parse_number(trim(line.substr(0, line.find(';'))), 16);
      if (!size) return ParseResult::State::malformed;
      if (*size > limits_.body || body_.size() + *size > limits_.body) return too_large();
      position_ = end + kLineEnd.size();
      if (*size == 0) return skip_trailers();
      if (text_.size() < position_ + *size + kLineEnd.size()) return ParseResult::State::incomplete;
      body_.append(text_.substr(position_, *size));
      position_ += *size;
      if (text_.substr(position_, kLineEnd.size()) != kLineEnd) return ParseResult::State::malformed;
      position_ += kLineEnd.size();
    }
  }

  ParseResult::State read_length(std::size_t length) {
    if (length > limits_.body) return too_large();
    if (text_.size() - position_ < length) return ParseResult::State::incomplete;
    body_ = text_.substr(position_, length);
    position_ += length;
    return ParseResult::State::complete;
  }

  /// Returns the position after the bytes that were read.
  std::size_t position() const { return position_; }
  /// Returns the status with which to answer a request whose body is malformed.
  int status() const { return status_; }
  std::string take_body() { return std::move(body_); }

 private:
  /// Discards the trailers, which end with an empty line. No caller needs them.
  ParseResult::State skip_trailers() {
    for (;;) {
      const auto end = text_.find(kLineEnd, position_);
      if (end == std::string_view::npos) return missing_line_end();
      const bool is_last = end == position_;
      position_ = end + kLineEnd.size();
      if (is_last) return ParseResult::State::complete;
    }
  }
  /// Returns the state when no line end has been found: malformed if the line exceeds the limit on a head.
  ParseResult::State missing_line_end() const {
    return text_.size() - position_ > limits_.head ? ParseResult::State::malformed
                                                   : ParseResult::State::incomplete;
  }
  /// Marks the body as larger than the limit.
  ParseResult::State too_large() {
    status_ = 413;
    return ParseResult::State::malformed;
  }

  std::string_view text_;
  std::size_t position_;
  const Limits& limits_;
  std::string body_;
  int status_ = 400;
};

ParseResult::State read_body(const Head& head, BodyReader& reader) {
  if (head.chunked) return reader.read_chunks();
  if (head.content_length) return reader.read_length(*head.content_length);
  return ParseResult::State::complete;
}

}  // namespace

std::string_view Message::header(std::string_view name) const {
  for (const auto& [key, value] : headers)
    if (key == name) return value;
  return {};
}

ParseResult parse(std::string_view text, Kind kind, const Limits& limits) {
  const auto head_end = text.find(kHeadEnd);
  if (head_end == std::string_view::npos) return text.size() > limits.head ? malformed(431) : ParseResult{};
  if (head_end > limits.head) return malformed(431);
  std::optional<Head> head = HeadParser().parse(text.substr(0, head_end), kind);
  if (!head) return malformed(400);

  BodyReader reader(text, head_end + kHeadEnd.size(), limits);
  switch (read_body(*head, reader)) {
    case ParseResult::State::incomplete:
      return ParseResult{};
    case ParseResult::State::malformed:
      return malformed(reader.status());
    case ParseResult::State::complete:
      break;
  }
  ParseResult result;
  result.state = ParseResult::State::complete;
  result.consumed = reader.position();
  result.message = std::move(head->message);
  result.message.body = reader.take_body();
  return result;
}

}  // namespace bendtide::http
