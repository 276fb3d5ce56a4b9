// The simulated key-value store: an in-memory implementation of the published protocol. It takes requests and
// gives answers in the protocol's JSON, so that wire/ is tested along with the core.
#pragma once

#include <map>
#include <nlohmann/json.hpp>

#include "core/model/settings.h"
#include "core/runtime/token_bucket.h"
#include "sim/response.h"
#include "wire/store_protocol.h"

namespace bendtide::sim {

/// Entries with revisions, leases, transactions, rate and size limits, and outages. `now` is always the time
/// of the caller's clock and never decreases.
class SimulatedKeyValueStore {
 public:
  explicit SimulatedKeyValueStore(const Settings& settings)
      : requests_(settings.store_requests_per_s, settings.store_requests_per_s),
        writes_(settings.store_writes_per_s, settings.store_writes_per_s),
        max_writes_(settings.store_transaction_writes),
        max_value_bytes_(settings.store_value_bytes) {}

  Response handle(const wire::HttpRequest& request, Micros now);
  /// During an outage every request is answered 503; when it ends, every lease has its full time again.
  void set_outage(bool on, Micros now);
  std::size_t keys() const { return entries_.size(); }
  /// Everything that is stored, with its revisions and leases.
  nlohmann::json snapshot() const;
  /// Replaces what is stored by a snapshot; every lease has its full time again.
  void restore(const nlohmann::json& snapshot, Micros now);
  /// Requests refused because of the rate limits.
  std::size_t refused() const { return refused_; }
  /// Requests refused because of a limit of size.
  std::size_t too_large() const { return too_large_; }

 private:
  struct Entry {  // NOLINT(bugprone-exception-escape): moving a JSON value throws nothing
    nlohmann::json value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Micros term{0};
    Micros expires_at{0};
  };
  void expire_leases(Micros now);
  Response list(const std::string& target) const;
  Response read(const std::string& target) const;
  Response grant_lease(const nlohmann::json& body, Micros now);
  Response renew_lease(const std::string& target, Micros now);
  Response transaction(const nlohmann::json& body, Micros now);
  /// Keys whose revision differs from the one that the transaction requires.
  nlohmann::json failed_compares(const nlohmann::json& compares) const;
  void apply(const nlohmann::json& writes);

  TokenBucket requests_;
  TokenBucket writes_;
  std::size_t max_writes_;
  std::size_t max_value_bytes_;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1;
  bool out_ = false;
  std::size_t refused_ = 0;
  std::size_t too_large_ = 0;
};

}  // namespace bendtide::sim
