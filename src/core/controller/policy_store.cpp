#include "core/controller/policy_store.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kReadInterval = seconds(5);

}  // namespace

void PolicyStore::tick() {
  if (state_.now() >= next_read_at_) read();
}

void PolicyStore::read() {
  next_read_at_ = state_.now() + kReadInterval;
  state_.store.get(records::kPolicyKey, [this](const StoreResponse& response) {
    if (!response.ok() || response.entries.empty()) return;
    Policy policy;
    const auto error = policy.apply(response.entries.front().value);
    if (!error) state_.context.policy = policy;
  });
}

void PolicyStore::change(std::uint64_t request, const Value& fields) {
  state_.store.get(records::kPolicyKey,
                   [this, change = Change{request, fields}](const StoreResponse& response) {
                     on_policy_read(change, response);
                   });
}

void PolicyStore::on_policy_read(const Change& change, const StoreResponse& response) {
  if (!response.ok() && response.outcome != Outcome::absent) return answer_unavailable(change);
  Policy policy;
  const Revision revision = response.entries.empty() ? Revision{} : response.entries.front().revision;
  // A stored policy that can't be applied is replaced by the default one.
  if (revision != 0 && policy.apply(response.entries.front().value)) policy = Policy{};
  if (const auto error = policy.apply(change.fields))
    return state_.context.emit(AnswerAdmin{change.request, 400, {{"error", error->text()}}});
  write(change, policy, revision);
}

void PolicyStore::write(const Change& change, const Policy& policy, Revision expected_revision) {
  Transaction transaction;
  // The write fails if the policy has changed since it was read.
  transaction.compares = {{records::kPolicyKey, expected_revision}};
  transaction.writes = {{records::kPolicyKey, Policy::to_json(policy), 0}};
  state_.store.commit(std::move(transaction), [this, change, policy](const StoreResponse& response) {
    on_written(change, policy, response);
  });
}

void PolicyStore::on_written(const Change& change, const Policy& policy, const StoreResponse& response) {
  if (!response.ok()) return answer_unavailable(change);
  state_.context.policy = policy;
  state_.context.info(LogMessage("policy changed").detail("policy", Policy::to_json(policy).dump()));
  state_.context.emit(AnswerAdmin{change.request, 200, Policy::to_json(policy)});
}

void PolicyStore::answer_unavailable(const Change& change) {
  state_.context.emit(
      AnswerAdmin{change.request, 503, {{"error", "the state service did not confirm; read again"}}});
}

}  // namespace bendtide
