// The simulated key-value store: an in-memory implementation of the published protocol. Requests and
// responses are in the protocol's JSON format, so that a simulation also tests wire/.
#pragma once

#include <map>
#include <nlohmann/json.hpp>

#include "core/model/settings.h"
#include "core/runtime/token_bucket.h"
#include "sim/response.h"
#include "wire/store_protocol.h"

namespace bendtide::sim {

/// Implements entries with revisions, leases, transactions, rate and size limits, and outages. The parameter
/// `now` is always the current time of the caller's clock, which never goes back.
class SimulatedKeyValueStore {
 public:
  explicit SimulatedKeyValueStore(const Settings& settings)
      : request_bucket_(settings.store_requests_per_s, settings.store_requests_per_s),
        write_bucket_(settings.store_writes_per_s, settings.store_writes_per_s),
        max_writes_(settings.store_transaction_writes),
        max_value_bytes_(settings.store_value_bytes) {}

  /// Serves one HTTP request.
  Response handle(const wire::HttpRequest& request, Micros now);
  /// Starts or ends an outage. Every request during an outage gets status 503, and no lease expires. Each
  /// lease gets its full term again when the outage ends.
  void set_outage(bool on, Micros now);
  /// Returns the number of keys.
  std::size_t key_count() const { return entries_.size(); }
  /// Returns the values of the keys with a prefix, in key order, as JSON texts.
  std::vector<std::string> values_under(const std::string& prefix) const;
  /// Returns all entries and leases, with their revisions.
  nlohmann::json snapshot() const;
  /// Replaces the contents by those of a snapshot. Each lease gets its full term again.
  void restore(const nlohmann::json& snapshot, Micros now);
  /// Returns the number of requests rejected by a rate limit.
  std::size_t rate_limited_requests() const { return rate_limited_requests_; }
  /// Returns the number of requests rejected by a size limit.
  std::size_t oversized_requests() const { return oversized_requests_; }

 private:
  struct Entry {  // NOLINT(bugprone-exception-escape): moving a JSON value does not throw
    nlohmann::json value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;  ///< id of the lease that the entry depends on; 0: none
  };
  struct Lease {
    Micros term{0};
    Micros expires_at{0};
  };
  /// Removes the leases that have expired, and the entries that depend on them.
  void expire_leases(Micros now);
  Response list(const std::string& target) const;
  Response read(const std::string& target) const;
  Response grant_lease(const nlohmann::json& body, Micros now);
  Response renew_lease(const std::string& target, Micros now);
  Response transaction(const nlohmann::json& body, Micros now);
  /// Returns the keys whose revisions differ from those that the transaction requires.
  nlohmann::json failed_compares(const nlohmann::json& compares) const;
  void apply(const nlohmann::json& writes);

  TokenBucket request_bucket_;
  TokenBucket write_bucket_;
  std::size_t max_writes_;
  std::size_t max_value_bytes_;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1;
  bool outage_ = false;
  std::size_t rate_limited_requests_ = 0;
  std::size_t oversized_requests_ = 0;
};

}  // namespace bendtide::sim
