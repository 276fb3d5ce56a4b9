// The operators' own settings: changed through the administration API only, kept in the key-value store.
#pragma once

#include <optional>
#include <string>

#include "core/model/store_messages.h"

namespace bendtide {

/// Why a change of the policy was refused.
struct PolicyError {
  std::string field;    ///< "body" if the change as a whole is not one
  std::string problem;  ///< what is wrong with its value, such as "must be true or false"

  /// For operators.
  std::string text() const { return field + ": " + problem; }
};

/// Field names are those of the API and of the stored record.
struct Policy {
  double idle_return_s = 20;     ///< an idle machine is returned after this long
  double silence_reports = 3.0;  ///< a machine silent for this many heartbeat intervals may be deleted
  double call_again_s = 2;       ///< pause between two calls for proposals for one job
  double close_bids = 0.10;      ///< proposals whose scores are within this share of each other are close
  int call_rounds = 3;           ///< rounds of one negotiation at most
  bool spot_machines = true;     ///< whether spot machines may be provisioned

  static Value to_json(const Policy& policy);
  /// Changes the fields given; if any of them is wrong, changes nothing and returns the first error.
  [[nodiscard]] std::optional<PolicyError> apply(const Value& fields);
};

}  // namespace bendtide
