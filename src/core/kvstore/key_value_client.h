// The client through which the core accesses the key-value store.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <unordered_map>

#include "core/runtime/context.h"
#include "core/runtime/token_bucket.h"

namespace bendtide {

/// The order in which transactions are sent when the rate budget is short.
enum class RequestPriority : std::uint8_t {
  lease,   ///< concerns a lease record, on which all writes for a shard depend
  high,    ///< a user waits for the response
  normal,  ///< regular work depends on it
  low      ///< may be delayed
};

/// What a read is made for. Reads of different kinds do not wait for each other's whole queue.
enum class ReadKind : std::uint8_t {
  lease,  ///< lease records: sent before all other requests
  state,  ///< the records of the shards that the controller leads, and settings
  user    ///< a request of a user; at most every second read while others wait, as users are not limited
};

/// Sends requests to the key-value store within this controller's share of the published rate limits, queues
/// the requests that exceed it, and passes each response to the callback of its request. A callback is called
/// exactly once for each request, unless the shell never delivers a response. It may be called before the
/// requesting function returns: a request whose queue is full gets StoreResponse::Outcome::refused
/// immediately. All times are on the steady clock.
class KeyValueClient {
 public:
  using Callback = std::function<void(const StoreResponse&)>;
  /// Completes a transaction immediately before it is sent. Returns false if it must not be sent: its
  /// callback then gets StoreResponse::Outcome::refused.
  using BeforeSend = std::function<bool(Transaction&)>;

  explicit KeyValueClient(Context& context);

  /// Reads one key.
  void get(std::string key, Callback callback, ReadKind kind = ReadKind::state);
  /// Reads all entries under a prefix, page by page. If a page fails, the callback receives the response to
  /// that page.
  void list(std::string prefix, Callback callback, ReadKind kind = ReadKind::state);
  /// Executes all writes of a transaction if all its compares hold, and none otherwise.
  void commit(Transaction transaction, Callback callback, RequestPriority priority = RequestPriority::normal,
              BeforeSend before_send = nullptr);
  /// Lease requests are never queued and do not count against the rate budget.
  void grant_lease(Micros term, Callback callback);
  void renew_lease(StoreLeaseId lease, Callback callback);

  /// Handles the response to the request that was sent as StoreCall `call`. Ignored if there is no such
  /// request.
  void on_response(std::uint64_t call, const StoreResponse& response);
  /// Sends as many queued requests as the rate budget and the in-flight limit allow now.
  void send_queued();
  /// Returns whether the queues are so long that requests which can wait should not be made.
  bool is_queue_long() const {
    return reads_.requests.size() + user_reads_.requests.size() + queued_transactions(RequestPriority::high) +
               queued_transactions(RequestPriority::normal) >
           kQueueLimit / 4;
  }
  /// Returns how many transactions of a priority wait to be sent.
  std::size_t queued_transactions(RequestPriority priority) const {
    return transactions_[static_cast<std::size_t>(priority)].requests.size();
  }
  /// Returns whether all requests have failed for longer than kFailingAfter.
  bool failing() const { return failing_since_ && context_.now - *failing_since_ > kFailingAfter; }
  /// Returns whether the last response came from a working key-value store.
  bool responsive() const { return !failing_since_ && last_success_ != Micros{0}; }

 private:
  struct Pending {
    StoreRequest request;
    Callback callback;
    BeforeSend before_send = nullptr;
    Micros queued_at{0};
  };
  struct Queue {
    std::deque<Pending> requests;
    Micros last_sent_at{0};
    bool empty() const { return requests.empty(); }
  };
  struct InFlight {
    Callback callback;
    Micros sent_at{0};
    std::string description;  ///< for the log; empty unless debug logging is enabled
  };

  Queue& queue_of(ReadKind kind);
  void enqueue(Queue& queue, StoreRequest request, Callback callback, BeforeSend before_send = nullptr);
  /// Sends the next transaction if the budget allows it. Returns whether a transaction left its queue.
  bool send_next_transaction();
  /// Sends the next read if the budget allows it, in turn from both queues. Returns whether a read was sent.
  bool send_next_read();
  /// Returns the priority of the transaction to be sent next; none if no transaction waits.
  std::optional<RequestPriority> next_priority() const;
  /// Returns whether transactions of higher priority have delayed this priority for too long.
  bool is_overdue(RequestPriority priority) const;
  /// Sends the first request of a queue if the budget allows it and a reserve of `reserve` writes remains.
  /// Returns whether a request left the queue.
  bool send_next(Queue& queue, double reserve);
  void send(Pending pending);
  void list_page(Queue& queue, std::string prefix, std::string after, std::vector<KeyValue> entries,
                 Callback callback);
  void record_outcome(StoreResponse::Outcome outcome);

  static constexpr std::size_t kQueueLimit = 256;
  static constexpr Micros kFailingAfter = seconds(2);
  static constexpr std::size_t kInFlightLimit = 16;
  static constexpr std::size_t kPriorities = 4;

  Context& context_;
  double write_burst_;    ///< writes that may be sent at once
  TokenBucket requests_;  ///< budget for requests of all kinds
  TokenBucket writes_;    ///< budget for the writes in transactions
  Queue reads_;
  Queue user_reads_;
  bool user_read_is_next_ = false;
  std::array<Queue, kPriorities> transactions_;  ///< by RequestPriority
  std::unordered_map<std::uint64_t, InFlight> in_flight_;
  std::uint64_t next_call_ = 1;
  Micros last_success_{0};  ///< 0 if no request has succeeded yet
  std::optional<Micros> failing_since_;
};

}  // namespace bendtide
