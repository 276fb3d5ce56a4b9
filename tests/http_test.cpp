#include <gtest/gtest.h>

#include "http/message.h"

namespace bendtide::http {
namespace {

struct RequestCase {
  const char* name;
  std::string text;
  ParseResult::State state;
  int status = 0;      // of a malformed one
  std::string body{};  // of a complete one
  bool keep_alive = true;
};

class Requests : public testing::TestWithParam<RequestCase> {};

TEST_P(Requests, AreParsed) {
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
    Table, Requests,
    testing::Values(
        RequestCase{"no_body", "GET /x HTTP/1.1\r\nHost: a\r\n\r\n", kComplete},
        RequestCase{"body", "POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET", kComplete, 0, "abc"},
        RequestCase{
            "chunks",
            "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;e=1\r\nc\r\n0\r\n\r\n",
            kComplete, 0, "abc"},
        RequestCase{"closing", "GET /x HTTP/1.1\r\nConnection: close\r\n\r\n", kComplete, 0, "", false},
        RequestCase{"old_version", "GET /x HTTP/1.0\r\n\r\n", kComplete, 0, "", false},
        RequestCase{"half_a_head", "GET /x HTTP/1.1\r\nHos", kIncomplete},
        RequestCase{"half_a_body", "POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", kIncomplete},
        RequestCase{"half_a_chunk", "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
                    kIncomplete},
        RequestCase{"no_version", "GET /x\r\n\r\n", kMalformed, 400},
        RequestCase{"no_slash", "GET x HTTP/1.1\r\n\r\n", kMalformed, 400},
        RequestCase{"bad_header", "GET /x HTTP/1.1\r\nno colon\r\n\r\n", kMalformed, 400},
        RequestCase{"negative_length", "POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n", kMalformed, 400},
        RequestCase{"huge_length", "POST /x HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
                    kMalformed, 400},
        RequestCase{"two_lengths", "POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                    kMalformed, 400},
        RequestCase{"length_and_chunks",
                    "POST /x HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na",
                    kMalformed, 400},
        RequestCase{"large_body", "POST /x HTTP/1.1\r\nContent-Length: 65\r\n\r\n", kMalformed, 413},
        RequestCase{"large_chunk",
                    "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", kMalformed,
                    413},
        RequestCase{"large_head", "GET /" + std::string(300, 'x') + " HTTP/1.1\r\n\r\n", kMalformed, 431},
        RequestCase{"endless_head", std::string(300, 'x'), kMalformed, 431}),
    [](const auto& info) { return info.param.name; });

TEST(Responses, AreReadBack) {
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
