// Requests to the key-value store and its responses.
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

using Value = nlohmann::json;  ///< a stored record; its layout is ours (core/model/records.h)

struct Compare {
  std::string key;
  Revision revision = 0;  ///< 0: the key does not exist
};

struct Write {
  std::string key;
  std::optional<Value> value;  ///< none: remove the key
  StoreLeaseId lease = 0;      ///< 0: not attached to a lease
};

struct GetKey {
  std::string key;
};

struct ListPrefix {
  std::string prefix;
  std::string after;
};

struct Transaction {
  std::vector<Compare> compares;
  std::vector<Write> writes;
};

struct GrantLease {
  Micros term{0};
};

struct RenewLease {
  StoreLeaseId lease = 0;
};

using StoreRequest = std::variant<GetKey, ListPrefix, Transaction, GrantLease, RenewLease>;

struct KeyValue {
  std::string key;
  Value value;
  Revision revision = 0;
};

struct StoreResponse {
  enum class Outcome : std::uint8_t {
    ok,
    absent,    ///< no such key or lease
    conflict,  ///< a condition did not hold
    refused,   ///< surely not executed
    unknown    ///< no answer: may have been executed, or may yet be
  };
  Outcome outcome = Outcome::unknown;
  std::vector<KeyValue> entries;
  bool more = false;
  Revision revision = 0;
  StoreLeaseId lease = 0;
  std::vector<std::string> failed;  ///< with a conflict: the keys whose condition did not hold; may be empty
  bool ok() const { return outcome == Outcome::ok; }
  /// Whether the key is one of those whose condition did not hold.
  [[nodiscard]] bool failed_at(const std::string& key) const {
    return std::find(failed.begin(), failed.end(), key) != failed.end();
  }
};

}  // namespace bendtide
