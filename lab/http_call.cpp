#include "http_call.h"

namespace bendtide::lab {

namespace {

constexpr std::size_t kMaxResponseBytes = 512 * 1024;

}  // namespace

io::Task<io::HttpClient::Result> perform(io::Loop& loop, HttpCall call) {
  io::HttpClient client(loop, call.address, 0, kMaxResponseBytes);
  co_return co_await client.call(std::move(call.method), std::move(call.target), std::move(call.body),
                                 call.timeout);
}

}  // namespace bendtide::lab
