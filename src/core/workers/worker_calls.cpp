#include "core/workers/worker_calls.h"

namespace bendtide {

namespace {

constexpr std::size_t kMinPushLimit = 16;
constexpr std::size_t kSocketsPerPush = 12;

/// Removes a call from the map and returns its value; none if the map does not have it.
template <class Value>
std::optional<Value> take(std::map<std::uint64_t, Value>& calls, std::uint64_t call) {
  auto node = calls.extract(call);
  if (node.empty()) return std::nullopt;
  return std::move(node.mapped());
}

}  // namespace

bool WorkerCalls::push_limit_reached() const {
  return pushes_.size() >= std::max(kMinPushLimit, state_.context.settings.sockets / kSocketsPerPush);
}

void WorkerCalls::push(Push push, CommandRequest request) {
  const std::uint64_t call = next_call_++;
  pushes_.emplace(call, std::move(push));
  state_.context.emit(WorkerCall{call, std::move(request)});
}

void WorkerCalls::probe(const std::string& address, ProbeCallback done) {
  const std::uint64_t call = next_call_++;
  probes_.emplace(call, std::move(done));
  state_.context.emit(WorkerCall{call, {address, 0, 0, {}}});
}

std::optional<WorkerCalls::ProbeCallback> WorkerCalls::take_probe(std::uint64_t call) {
  return take(probes_, call);
}

std::optional<WorkerCalls::Push> WorkerCalls::take_push(std::uint64_t call) { return take(pushes_, call); }

}  // namespace bendtide
