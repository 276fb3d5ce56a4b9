// The operators' policy (core/model/policy.h) in the key-value store.
#pragma once

#include "core/state/controller_state.h"

namespace bendtide {

/// Reads the policy into Context::policy every few seconds, and changes it on request of operators.
class PolicyStore {
 public:
  explicit PolicyStore(ControllerState& state) : state_(state) {}

  void tick();
  /// Changes the given fields of the stored policy and answers the operator's request with the new policy.
  /// The answer has status 400 if a field is invalid, and 503 if the key-value store did not confirm the
  /// change.
  void change(std::uint64_t request, const Value& fields);

 private:
  /// A request of an operator to change some fields.
  struct Change {
    std::uint64_t request = 0;
    Value fields;
  };

  void read();
  void on_policy_read(const Change& change, const StoreResponse& response);
  void write(const Change& change, const Policy& policy, Revision expected_revision);
  void on_written(const Change& change, const Policy& policy, const StoreResponse& response);
  void answer_unavailable(const Change& change);

  ControllerState& state_;
  Micros next_read_at_{0};  ///< steady clock
};

}  // namespace bendtide
