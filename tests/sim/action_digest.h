// A digest of everything that the controllers of a simulated cluster decide, for showing that a change of
// the sources changes no decision.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/model/actions.h"

namespace bendtide::sim {

/// Digests the actions of controllers in their order and in their encoded form: calls to the key-value store,
/// the cloud and workers, messages to peers, answers to users, workers and operators. Log lines do not count.
/// Two runs with the same value and the same number of actions made the same decisions.
class ActionDigest {
 public:
  void add(const std::string& host, const Action& action);

  std::uint64_t value() const { return value_; }
  std::size_t actions() const { return actions_; }

 private:
  /// Adds the length too, so that the border between two fields counts.
  void add_field(std::string_view bytes);

  std::uint64_t value_ = 0xcbf29ce484222325;  ///< FNV-1a, 64 bits
  std::size_t actions_ = 0;
};

}  // namespace bendtide::sim
