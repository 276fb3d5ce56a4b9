// The core's client of the cloud's API.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "core/runtime/context.h"
#include "core/runtime/token_bucket.h"

namespace bendtide {

/// Sends requests within this controller's share of the published rate, and hands each response to its
/// caller. Nothing is queued: a request for which the rate leaves no budget is made again by its caller at a
/// later tick.
class CloudClient {
 public:
  using Callback = std::function<void(const CloudResponse&)>;

  explicit CloudClient(Context& context);

  /// False if the budget is used up: then nothing is sent, and the callback is dropped.
  [[nodiscard]] bool call(CloudRequest request, Callback callback);
  /// The response to a call, or its failure. One to a call that is not in flight is ignored.
  void on_response(std::uint64_t call, const CloudResponse& response);

 private:
  Context& context_;
  TokenBucket budget_;
  std::map<std::uint64_t, Callback> in_flight_;
  std::uint64_t next_call_ = 1;
};

}  // namespace bendtide
