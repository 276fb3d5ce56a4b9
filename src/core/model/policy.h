// The operators' own settings: changed through the administration API only, kept in the key-value store.
#pragma once

#include <optional>
#include <string>

#include "core/model/store_messages.h"

namespace bendtide {

struct Policy {
  double idle_return_s = 20;     ///< an idle machine is returned after this long
  double silence_reports = 3.0;  ///< a machine silent for this many heartbeat intervals may be deleted
  double call_again_s = 2;       ///< pause between two calls for proposals for one job
  double close_bids = 0.10;      ///< scores within this share of each other are close
  int call_rounds = 3;           ///< rounds of one negotiation at most
  bool spot_machines = true;     ///< whether spot machines may be rented

  static Value to_json(const Policy& p);
  /// Applies the fields given; on a bad one changes nothing and says why.
  static std::optional<std::string> apply(Policy& p, const Value& fields);
};

}  // namespace bendtide
