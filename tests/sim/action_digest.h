// A digest of all decisions of the controllers of a simulated cluster. Comparing digests shows whether a
// change of the sources changes any decision.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/model/actions.h"

namespace bendtide::sim {

/// Digests the actions of controllers in their order and in their encoded form: calls to the key-value store,
/// the cloud and workers, messages to peers, and replies to users, workers and operators. Log lines are left
/// out. Two runs with the same value and the same number of actions made the same decisions.
class ActionDigest {
 public:
  void add(const std::string& host, const Action& action);

  std::uint64_t value() const { return value_; }
  /// Number of digested actions.
  std::size_t actions() const { return actions_; }

 private:
  /// Adds the length first, so that moving a byte from one field to the next changes the digest.
  void add_field(std::string_view bytes);

  std::uint64_t value_ = 0xcbf29ce484222325;  ///< 64-bit FNV-1a, which starts at this offset basis
  std::size_t actions_ = 0;
};

}  // namespace bendtide::sim
