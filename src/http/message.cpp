#include "http/message.h"

#include <algorithm>
#include <charconv>

namespace bendtide::http {

namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool same_word(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

bool is_token(std::string_view s) {
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return !s.empty() && std::all_of(s.begin(), s.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
           marks.find(c) != std::string_view::npos;
  });
}

/// A whole number with nothing around it.
std::optional<std::size_t> number(std::string_view s, int base) {
  std::size_t n = 0;
  if (s.empty()) return std::nullopt;
  auto [p, ec] = std::from_chars(s.data(), s.data() + s.size(), n, base);
  if (ec != std::errc{} || p != s.data() + s.size()) return std::nullopt;
  return n;
}

Parse malformed(int status) {
  Parse out;
  out.state = Parse::State::malformed;
  out.status = status;
  return out;
}

bool start_line(std::string_view line, Kind kind, Message& m) {
  const auto first = line.find(' ');
  if (first == std::string_view::npos) return false;
  std::string_view version;
  if (kind == Kind::request) {
    const auto second = line.find(' ', first + 1);
    if (second == std::string_view::npos) return false;
    m.method = line.substr(0, first);
    m.target = line.substr(first + 1, second - first - 1);
    version = line.substr(second + 1);
    if (!is_token(m.method) || m.target.empty() || m.target.front() != '/') return false;
    for (char c : m.target)
      if (static_cast<unsigned char>(c) <= ' ' || c == 127) return false;
  } else {
    version = line.substr(0, first);
    auto status = number(line.substr(first + 1, 3), 10);
    if (!status || *status < 100 || *status > 599) return false;
    m.status = static_cast<int>(*status);
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
  m.keep_alive = version == "HTTP/1.1";
  return true;
}

/// The body in chunks, from `pos` on; `pos` is moved behind it.
Parse::State chunked(std::string_view text, std::size_t& pos, std::string& body, const Limits& limits,
                     int& status) {
  for (;;) {
    const auto eol = text.find("\r\n", pos);
    if (eol == std::string_view::npos)
      return text.size() - pos > limits.head ? Parse::State::malformed : Parse::State::incomplete;
    std::string_view line = text.substr(pos, eol - pos);
    auto size = number(trim(line.substr(0, line.find(';'))), 16);
    if (!size) return Parse::State::malformed;
    if (*size > limits.body || body.size() + *size > limits.body) {
      status = 413;
      return Parse::State::malformed;
    }
    pos = eol + 2;
    if (*size == 0) break;
    if (text.size() < pos + *size + 2) return Parse::State::incomplete;
    body.append(text.substr(pos, *size));
    pos += *size;
    if (text.substr(pos, 2) != "\r\n") return Parse::State::malformed;
    pos += 2;
  }
  // Trailers, which nobody here wants, up to an empty line.
  for (;;) {
    const auto eol = text.find("\r\n", pos);
    if (eol == std::string_view::npos)
      return text.size() - pos > limits.head ? Parse::State::malformed : Parse::State::incomplete;
    const bool last = eol == pos;
    pos = eol + 2;
    if (last) return Parse::State::complete;
  }
}

const char* reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

}  // namespace

std::string_view Message::header(std::string_view name) const {
  for (const auto& [key, value] : headers)
    if (key == name) return value;
  return {};
}

Parse parse(std::string_view text, Kind kind, const Limits& limits) {
  Parse out;
  const auto head_end = text.find("\r\n\r\n");
  if (head_end == std::string_view::npos) return text.size() > limits.head ? malformed(431) : out;
  if (head_end > limits.head) return malformed(431);

  std::string_view head = text.substr(0, head_end);
  auto next_line = [&] {
    const auto eol = head.find("\r\n");
    std::string_view line = head.substr(0, eol);
    head = eol == std::string_view::npos ? std::string_view{} : head.substr(eol + 2);
    return line;
  };
  Message& m = out.message;
  if (!start_line(next_line(), kind, m)) return malformed(400);

  std::optional<std::size_t> length;
  bool in_chunks = false;
  while (!head.empty()) {
    std::string_view line = next_line();
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return malformed(400);
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(), lower);
    std::string_view value = trim(line.substr(colon + 1));
    if (name == "content-length") {
      auto n = number(value, 10);
      if (!n || (length && *length != *n)) return malformed(400);
      length = n;
    } else if (name == "transfer-encoding") {
      if (!same_word(value, "chunked")) return malformed(400);
      in_chunks = true;
    } else if (name == "connection") {
      if (same_word(value, "close")) m.keep_alive = false;
      if (same_word(value, "keep-alive")) m.keep_alive = true;
    }
    m.headers.emplace_back(std::move(name), std::string(value));
  }
  if (in_chunks && length) return malformed(400);

  std::size_t pos = head_end + 4;
  if (in_chunks) {
    int status = 400;
    switch (chunked(text, pos, m.body, limits, status)) {
      case Parse::State::incomplete:
        return Parse{};
      case Parse::State::malformed:
        return malformed(status);
      case Parse::State::complete:
        break;
    }
  } else if (length) {
    if (*length > limits.body) return malformed(413);
    if (text.size() - pos < *length) return Parse{};
    m.body = text.substr(pos, *length);
    pos += *length;
  }
  out.consumed = pos;
  out.state = Parse::State::complete;
  return out;
}

std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view body) {
  std::string out;
  out.reserve(128 + target.size() + body.size());
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
  if (!body.empty()) out.append("Content-Type: application/json\r\n");
  if (!body.empty() || method != "GET")
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  return out.append("\r\n").append(body);
}

std::string write_response(int status, std::string_view body, bool keep_alive, int retry_after_s,
                           std::string_view type) {
  std::string out;
  out.reserve(160 + body.size());
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason(status)).append("\r\n");
  out.append("Content-Type: ")
      .append(type)
      .append("\r\nContent-Length: ")
      .append(std::to_string(body.size()))
      .append("\r\n");
  if (retry_after_s > 0) out.append("Retry-After: ").append(std::to_string(retry_after_s)).append("\r\n");
  if (!keep_alive) out.append("Connection: close\r\n");
  return out.append("\r\n").append(body);
}

}  // namespace bendtide::http
