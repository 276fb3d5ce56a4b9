// Requests to the key-value store and the responses to them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/model/ids.h"
#include "core/model/time.h"

namespace bendtide {

using Value = nlohmann::json;  ///< a stored record; core/model/records.h defines the layout

/// A condition of a transaction: the key must have this revision.
struct Compare {
  std::string key;
  Revision revision = 0;  ///< 0: the key does not exist
};

/// One write of a transaction.
struct Write {
  std::string key;
  std::optional<Value> value;  ///< none: removes the key
  StoreLeaseId lease = 0;      ///< the lease that the key is attached to; 0: none
};

/// Reads one key.
struct GetKey {
  std::string key;
};

/// Reads one page of the keys that start with a prefix, in key order.
struct ListPrefix {
  std::string prefix;
  std::string after;  ///< the page starts after this key; empty: at the first key
};

/// Applies all writes if all conditions hold, and none otherwise.
struct Transaction {
  std::vector<Compare> compares;
  std::vector<Write> writes;
};

/// Creates a lease that expires after `term` unless it is renewed.
struct GrantLease {
  Micros term{0};
};

/// Extends a lease by its term.
struct RenewLease {
  StoreLeaseId lease = 0;
};

using StoreRequest = std::variant<GetKey, ListPrefix, Transaction, GrantLease, RenewLease>;

/// A key with its value and revision.
struct KeyValue {
  std::string key;
  Value value;
  Revision revision = 0;
};

/// The response to any StoreRequest. Only the fields that belong to the kind of request are set.
struct StoreResponse {
  enum class Outcome : std::uint8_t {
    ok,
    absent,    ///< the key or lease does not exist
    conflict,  ///< a condition of the transaction did not hold
    refused,   ///< the request was definitely not executed
    unknown    ///< no response: the request may have been executed, or may still be
  };
  Outcome outcome = Outcome::unknown;
  std::vector<KeyValue> entries;
  bool more = false;  ///< response to ListPrefix: whether further pages follow
  Revision revision = 0;
  StoreLeaseId lease = 0;
  std::vector<std::string> failed;  ///< for a conflict: the keys whose condition did not hold; may be empty
  bool ok() const { return outcome == Outcome::ok; }
  /// Whether the condition on this key is known to have failed.
  [[nodiscard]] bool condition_failed_on(const std::string& key) const {
    return std::find(failed.begin(), failed.end(), key) != failed.end();
  }
};

}  // namespace bendtide
