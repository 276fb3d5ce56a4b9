// Parsing and serialization of HTTP/1.1 requests and responses. Does no I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bendtide::http {

/// A request or a response.
struct Message {
  std::string method;                                        ///< requests only
  std::string target;                                        ///< requests only: path and query parameters
  int status = 0;                                            ///< responses only
  std::vector<std::pair<std::string, std::string>> headers;  ///< names in lower case
  std::string body;
  bool keep_alive = true;  ///< whether another message may follow on the connection

  /// Returns the value of the first header called `name`, which must be in lower case; empty if there is
  /// none.
  std::string_view header(std::string_view name) const;
};

/// The maximum sizes of an accepted message, in bytes.
struct Limits {
  std::size_t head = 16 * 1024;  ///< start line and headers
  std::size_t body = 64 * 1024;
};

enum class Kind { request, response };

/// The result of parsing the beginning of a text.
struct ParseResult {
  enum class State { incomplete, complete, malformed };
  State state = State::incomplete;
  std::size_t consumed = 0;  ///< if complete: size of the message in bytes
  int status = 400;          ///< if malformed: the status with which to answer a request
  Message message;           ///< if complete: the message
};

/// Parses one message at the beginning of `text`, which may contain less or more than one message. Chunked
/// bodies are reassembled; trailers are discarded.
[[nodiscard]] ParseResult parse(std::string_view text, Kind kind, const Limits& limits);

/// Serializes a request. `body`: JSON; empty if the request has no body.
[[nodiscard]] std::string write_request(std::string_view method, std::string_view target,
                                        std::string_view host, std::string_view body);
/// Serializes a response. `retry_after_s`: value of the Retry-After header; 0 omits the header.
[[nodiscard]] std::string write_response(int status, std::string_view body, bool keep_alive,
                                         int retry_after_s = 0, std::string_view type = "application/json");

}  // namespace bendtide::http
