// The core's client of the key-value store: keeps to its share of the published rates, bounds its queue, and
// hands every answer to the one who asked.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <unordered_map>

#include "core/runtime/context.h"
#include "core/runtime/token_bucket.h"

namespace bendtide {

class KeyValueClient {
 public:
  using Callback = std::function<void(const StoreResponse&)>;

  /// What goes first when the budget is short: what users wait for, then the work, then what can wait.
  enum class RequestPriority : std::uint8_t { high, normal, low };

  explicit KeyValueClient(Context& context);

  void get(std::string key, Callback callback);
  /// All rows under a prefix, page after page; any failed page fails the whole.
  void list(std::string prefix, Callback callback);
  void commit(Transaction transaction, Callback callback, RequestPriority priority = RequestPriority::normal);
  /// Leases go ahead of everything else and are never queued behind it.
  void lease(Micros term, Callback callback);
  void renew(StoreLeaseId lease, Callback callback);

  void on_answer(std::uint64_t call, const StoreResponse& answer);
  /// Sends what the budget allows by now.
  void send_queued();
  bool busy() const {
    return reads_.size() + transactions_[0].size() + transactions_[1].size() > kQueueLimit / 4;
  }
  /// Whether calls have been failing for a while, with none answered since.
  bool failing() const { return failing_since_ && context_.now - *failing_since_ > kFailingAfter; }
  bool responsive() const { return !failing_since_ && last_answer_ != Micros{0}; }

 private:
  struct Pending {
    StoreRequest request;
    Callback callback;
  };
  using Queue = std::deque<Pending>;
  struct InFlight {
    Callback callback;
    Micros sent{0};
    std::string what;  ///< for the log, if debug lines are written
  };
  void enqueue(Queue& queue, StoreRequest request, Callback callback);
  bool send_next(Queue& queue, double reserve);
  void send(Pending p);
  void list_page(std::string prefix, std::string after, std::vector<KeyValue> entries, Callback callback);

  static constexpr std::size_t kQueueLimit = 256;
  static constexpr Micros kFailingAfter = seconds(2);
  static constexpr std::size_t kInFlightLimit = 16;

  Context& context_;
  double write_burst_;  ///< in one burst
  TokenBucket calls_;
  TokenBucket writes_;
  Queue reads_;
  std::array<Queue, 3> transactions_;  ///< by rank
  std::unordered_map<std::uint64_t, InFlight> in_flight_;
  std::uint64_t next_call_ = 1;
  Micros last_answer_{0};
  std::optional<Micros> failing_since_;
};

}  // namespace bendtide
