// HTTP/1.1 messages: parsing and writing, of requests and of responses. No input or output of its own.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bendtide::http {

/// A request or a response.
struct Message {
  std::string method;                                        ///< of a request
  std::string target;                                        ///< of a request: path and parameters
  int status = 0;                                            ///< of a response
  std::vector<std::pair<std::string, std::string>> headers;  ///< names in lower case
  std::string body;
  bool keep_alive = true;  ///< whether another message may follow on the connection

  /// The first header of that name, which has to be in lower case; empty if there is none.
  std::string_view header(std::string_view name) const;
};

/// The longest message that is accepted, in bytes.
struct Limits {
  std::size_t head = 16 * 1024;
  std::size_t body = 64 * 1024;
};

enum class Kind { request, response };

/// What was found at the beginning of a text.
struct ParseResult {
  enum class State { incomplete, complete, malformed };
  State state = State::incomplete;
  std::size_t consumed = 0;  ///< bytes of the complete message
  int status = 400;          ///< what to answer to a malformed request
  Message message;           ///< of a complete one
};

/// Reads one message from the beginning of `text`, which may hold less or more than one. Chunked bodies are
/// put together; trailers are dropped.
[[nodiscard]] ParseResult parse(std::string_view text, Kind kind, const Limits& limits);

/// `body`: JSON; empty: none.
[[nodiscard]] std::string write_request(std::string_view method, std::string_view target,
                                        std::string_view host, std::string_view body);
/// `retry_after_s`: 0: no such header.
[[nodiscard]] std::string write_response(int status, std::string_view body, bool keep_alive,
                                         int retry_after_s = 0, std::string_view type = "application/json");

}  // namespace bendtide::http
