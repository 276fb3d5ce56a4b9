#include "core/provisioning/cloud_client.h"

#include <algorithm>

namespace bendtide {

namespace {

/// The fraction of the published rate limit that all controllers together may use.
constexpr double kUsableRateFraction = 0.8;

TokenBucket controller_budget(const Settings& settings) {
  const auto controllers = static_cast<double>(settings.controllers());
  const double calls_per_s = kUsableRateFraction * settings.cloud_calls_per_s / controllers;
  const double burst = std::max(1.0, settings.cloud_calls_per_s / controllers);
  return {calls_per_s, burst};
}

}  // namespace

CloudClient::CloudClient(Context& context)
    : context_(context), budget_(controller_budget(context.settings)) {}

bool CloudClient::call(CloudRequest request, Callback callback) {
  if (!budget_.try_take(context_.now)) return false;
  const std::uint64_t id = next_call_++;
  in_flight_.emplace(id, std::move(callback));
  context_.emit(CloudCall{id, std::move(request)});
  return true;
}

void CloudClient::on_response(std::uint64_t call, const CloudResponse& response) {
  const auto found = in_flight_.find(call);
  if (found == in_flight_.end()) return;
  const Callback callback = std::move(found->second);
  in_flight_.erase(found);
  callback(response);
}

}  // namespace bendtide
