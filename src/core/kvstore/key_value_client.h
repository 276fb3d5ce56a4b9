// The core's client of the key-value store.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <unordered_map>

#include "core/runtime/context.h"
#include "core/runtime/token_bucket.h"

namespace bendtide {

/// Which transactions go first when the budget is short.
enum class RequestPriority : std::uint8_t {
  high,    ///< users wait for it
  normal,  ///< work goes on with it
  low      ///< it can wait
};

/// Sends requests to the key-value store within this controller's share of the published rates, queues what
/// exceeds them, and hands each response to the callback of its request. A callback is called exactly once
/// for each request, unless the shell never delivers a response. It may be called at once: a request that
/// finds its queue full is answered with StoreResponse::Outcome::refused. All times are on the steady clock.
class KeyValueClient {
 public:
  using Callback = std::function<void(const StoreResponse&)>;

  explicit KeyValueClient(Context& context);

  /// Reads one key.
  void get(std::string key, Callback callback);
  /// Reads all entries under a prefix, page after page. If one page fails, its response is that of the list.
  void list(std::string prefix, Callback callback);
  /// Carries out all writes of a transaction if all its compares hold, or none.
  void commit(Transaction transaction, Callback callback, RequestPriority priority = RequestPriority::normal);
  /// Lease requests are never queued, and are sent whatever the budget.
  void grant_lease(Micros term, Callback callback);
  void renew_lease(StoreLeaseId lease, Callback callback);

  /// The response to the request that was sent as StoreCall `call`. Ignored if there is no such request.
  void on_response(std::uint64_t call, const StoreResponse& response);
  /// Sends as much from the queues as the budget allows now.
  void send_queued();
  /// Whether so much is queued that what can wait should not be requested.
  bool busy() const {
    return reads_.size() + transactions_[0].size() + transactions_[1].size() > kQueueLimit / 4;
  }
  /// Whether requests have been failing for a while, with none executed since.
  bool failing() const { return failing_since_ && context_.now - *failing_since_ > kFailingAfter; }
  /// Whether the last response showed that the key-value store works.
  bool responsive() const { return !failing_since_ && last_success_ != Micros{0}; }

 private:
  struct Pending {
    StoreRequest request;
    Callback callback;
  };
  using Queue = std::deque<Pending>;
  struct InFlight {
    Callback callback;
    Micros sent_at{0};
    std::string description;  ///< for the log; empty unless debug lines are written
  };

  void enqueue(Queue& queue, StoreRequest request, Callback callback);
  /// Sends the first request of a queue if the budget allows that and leaves `reserve` writes. Whether it
  /// did.
  bool send_next(Queue& queue, double reserve);
  void send(Pending pending);
  void list_page(std::string prefix, std::string after, std::vector<KeyValue> entries, Callback callback);
  void note_outcome(StoreResponse::Outcome outcome);

  static constexpr std::size_t kQueueLimit = 256;
  static constexpr Micros kFailingAfter = seconds(2);
  static constexpr std::size_t kInFlightLimit = 16;

  Context& context_;
  double write_burst_;    ///< writes that may be sent at once
  TokenBucket requests_;  ///< budget for requests of all kinds
  TokenBucket writes_;    ///< budget for the writes in transactions
  Queue reads_;
  std::array<Queue, 3> transactions_;  ///< by RequestPriority
  std::unordered_map<std::uint64_t, InFlight> in_flight_;
  std::uint64_t next_call_ = 1;
  Micros last_success_{0};  ///< 0: none yet
  std::optional<Micros> failing_since_;
};

}  // namespace bendtide
