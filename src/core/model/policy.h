// The operators' policy: settings that are stored in the key-value store and changed only through the
// administration API.
#pragma once

#include <optional>
#include <string>

#include "core/model/store_messages.h"

namespace bendtide {

/// Why a change of the policy was refused.
struct PolicyError {
  std::string field;    ///< "body" if the request body as a whole is invalid
  std::string problem;  ///< such as "must be true or false"

  /// The error message for operators.
  std::string text() const { return field + ": " + problem; }
};

/// The names of the fields are those in the administration API and in the stored record.
struct Policy {
  double idle_return_s = 20;     ///< a machine that is idle for this long may be deleted
  double silence_reports = 3.0;  ///< a machine silent for this many heartbeat intervals may be deleted
  double call_again_s = 2;       ///< pause between two calls for proposals for the same job
  double close_bids = 0.10;      ///< two proposals are close if their scores differ by at most this fraction
  int call_rounds = 3;           ///< maximum number of rounds of a negotiation
  bool spot_machines = true;     ///< whether spot machines may be provisioned

  static Value to_json(const Policy& policy);
  /// Applies a change that holds some or all fields. If any of them is invalid, changes nothing and returns
  /// the first error.
  [[nodiscard]] std::optional<PolicyError> apply(const Value& fields);
};

}  // namespace bendtide
