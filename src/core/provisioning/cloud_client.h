// Client of the cloud's API.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "core/runtime/context.h"
#include "core/runtime/token_bucket.h"

namespace bendtide {

/// Sends requests within this controller's share of the published rate limit, and passes each response to its
/// caller. Requests are not queued: if the budget is exhausted, the caller repeats the request at a later
/// tick.
class CloudClient {
 public:
  using Callback = std::function<void(const CloudResponse&)>;

  explicit CloudClient(Context& context);

  /// Returns false if the budget is exhausted. In that case nothing is sent and the callback is discarded.
  [[nodiscard]] bool call(CloudRequest request, Callback callback);
  /// Handles the response to a call, or its failure. A response to a call that is not in flight is ignored.
  void on_response(std::uint64_t call, const CloudResponse& response);

 private:
  Context& context_;
  TokenBucket budget_;
  std::map<std::uint64_t, Callback> in_flight_;
  std::uint64_t next_call_ = 1;
};

}  // namespace bendtide
