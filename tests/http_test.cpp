#include <gtest/gtest.h>

#include "http/message.h"

namespace bendtide::http {
namespace {

struct RequestCase {
  const char* name;
  std::string text;
  ParseResult::State state;
  int status = 0;          ///< expected response status if the request is malformed
  std::string body{};      ///< expected body if the request is complete
  bool keep_alive = true;  ///< expected value if the request is complete
};

class HttpRequestParser : public testing::TestWithParam<RequestCase> {};

// Parses a request with at most 256 bytes of headers and 64 bytes of body.
TEST_P(HttpRequestParser, ReportsExpectedResult) {
  const RequestCase& c = GetParam();
  const ParseResult p = parse(c.text, Kind::request, {256, 64});
  ASSERT_EQ(p.state, c.state);
  if (c.state == ParseResult::State::malformed) {
    EXPECT_EQ(p.status, c.status);
  }
  if (c.state != ParseResult::State::complete) return;
  EXPECT_EQ(p.message.body, c.body);
  EXPECT_EQ(p.message.keep_alive, c.keep_alive);
}

constexpr auto kComplete = ParseResult::State::complete;
constexpr auto kMalformed = ParseResult::State::malformed;
constexpr auto kIncomplete = ParseResult::State::incomplete;

INSTANTIATE_TEST_SUITE_P(
    Cases, HttpRequestParser,
    testing::Values(
        RequestCase{"no_body", "GET /x HTTP/1.1\r\nHost: a\r\n\r\n", kComplete},
        RequestCase{"body", "POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET", kComplete, 0, "abc"},
        RequestCase{
            "chunked_body",
            "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;e=1\r\nc\r\n0\r\n\r\n",
            kComplete, 0, "abc"},
        RequestCase{"connection_close", "GET /x HTTP/1.1\r\nConnection: close\r\n\r\n", kComplete, 0, "",
                    false},
        RequestCase{"http_1_0", "GET /x HTTP/1.0\r\n\r\n", kComplete, 0, "", false},
        RequestCase{"incomplete_head", "GET /x HTTP/1.1\r\nHos", kIncomplete},
        RequestCase{"incomplete_body", "POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", kIncomplete},
        RequestCase{"incomplete_chunk", "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
                    kIncomplete},
        RequestCase{"missing_version", "GET /x\r\n\r\n", kMalformed, 400},
        RequestCase{"target_without_slash", "GET x HTTP/1.1\r\n\r\n", kMalformed, 400},
        RequestCase{"header_without_colon", "GET /x HTTP/1.1\r\nno colon\r\n\r\n", kMalformed, 400},
        RequestCase{"negative_length", "POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n", kMalformed, 400},
        RequestCase{"length_overflow", "POST /x HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
                    kMalformed, 400},
        RequestCase{"conflicting_lengths",
                    "POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", kMalformed, 400},
        RequestCase{"length_and_chunked_encoding",
                    "POST /x HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na",
                    kMalformed, 400},
        RequestCase{"body_above_limit", "POST /x HTTP/1.1\r\nContent-Length: 65\r\n\r\n", kMalformed, 413},
        RequestCase{"chunk_above_limit",
                    "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", kMalformed,
                    413},
        RequestCase{"head_above_limit", "GET /" + std::string(300, 'x') + " HTTP/1.1\r\n\r\n", kMalformed,
                    431},
        RequestCase{"unterminated_head_above_limit", std::string(300, 'x'), kMalformed, 431}),
    [](const auto& info) { return info.param.name; });

TEST(HttpResponses, WrittenResponseIsParsedBack) {
  const std::string text = write_response(503, "{}", false, 7);
  const ParseResult p = parse(text, Kind::response, {});
  ASSERT_EQ(p.state, ParseResult::State::complete);
  EXPECT_EQ(p.consumed, text.size());
  EXPECT_EQ(p.message.status, 503);
  EXPECT_EQ(p.message.header("retry-after"), "7");
  EXPECT_FALSE(p.message.keep_alive);
}

}  // namespace
}  // namespace bendtide::http
