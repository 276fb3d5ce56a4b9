#include "core/kvstore/key_value_client.h"

#include "core/kvstore/request_description.h"

namespace bendtide {

namespace {

/// Each controller stays slightly below an equal share of the rate, because the clocks of controllers drift
/// against each other.
constexpr double kRateMargin = 0.9;
constexpr double kBurstSeconds = 0.5;     ///< seconds of an equal share that may be sent in one burst
constexpr double kMinRequestBurst = 2.0;  ///< the smallest burst of requests

/// How long transactions of normal and low priority can be delayed by those of higher priority before one of
/// them is sent first.
constexpr Micros kMaxNormalDelay = seconds(2);
constexpr Micros kMaxLowDelay = seconds(10);

StoreResponse refused_response() {
  StoreResponse refused;
  refused.outcome = StoreResponse::Outcome::refused;
  return refused;
}

double rate_share(double per_second, const Settings& settings) {
  return kRateMargin * per_second / static_cast<double>(settings.controllers());
}

double burst(double per_second, const Settings& settings) {
  return kBurstSeconds * per_second / static_cast<double>(settings.controllers());
}

}  // namespace

KeyValueClient::KeyValueClient(Context& context)
    : context_(context),
      write_burst_(std::max(static_cast<double>(context.settings.store_transaction_writes),
                            burst(context.settings.store_writes_per_s, context.settings))),
      requests_(rate_share(context.settings.store_requests_per_s, context.settings),
                std::max(kMinRequestBurst, burst(context.settings.store_requests_per_s, context.settings))),
      writes_(rate_share(context.settings.store_writes_per_s, context.settings), write_burst_) {}

KeyValueClient::Queue& KeyValueClient::queue_of(ReadKind kind) {
  switch (kind) {
    case ReadKind::lease:
      return transactions_[static_cast<std::size_t>(RequestPriority::lease)];
    case ReadKind::state:
      return reads_;
    case ReadKind::user:
      return user_reads_;
  }
  return reads_;
}

void KeyValueClient::get(std::string key, Callback callback, ReadKind kind) {
  enqueue(queue_of(kind), GetKey{std::move(key)}, std::move(callback));
}

void KeyValueClient::commit(Transaction transaction, Callback callback, RequestPriority priority,
                            BeforeSend before_send) {
  enqueue(transactions_[static_cast<std::size_t>(priority)], std::move(transaction), std::move(callback),
          std::move(before_send));
}

void KeyValueClient::grant_lease(Micros term, Callback callback) {
  send({GrantLease{term}, std::move(callback)});
}

void KeyValueClient::renew_lease(StoreLeaseId lease, Callback callback) {
  send({RenewLease{lease}, std::move(callback)});
}

void KeyValueClient::list(std::string prefix, Callback callback, ReadKind kind) {
  list_page(queue_of(kind), std::move(prefix), "", {}, std::move(callback));
}

void KeyValueClient::list_page(Queue& queue, std::string prefix, std::string after,
                               std::vector<KeyValue> entries, Callback callback) {
  ListPrefix page{prefix, std::move(after)};
  enqueue(queue, std::move(page),
          [this, &queue, prefix = std::move(prefix), entries = std::move(entries),
           callback = std::move(callback)](const StoreResponse& response) mutable {
            if (!response.ok()) return callback(response);
            for (const KeyValue& entry : response.entries) entries.push_back(entry);
            if (response.more && !response.entries.empty())
              return list_page(queue, std::move(prefix), response.entries.back().key, std::move(entries),
                               std::move(callback));
            StoreResponse all_pages;
            all_pages.outcome = StoreResponse::Outcome::ok;
            all_pages.entries = std::move(entries);
            all_pages.revision = response.revision;
            callback(all_pages);
          });
}

void KeyValueClient::enqueue(Queue& queue, StoreRequest request, Callback callback, BeforeSend before_send) {
  // While the key-value store is failing, a longer queue would only contain requests that wait for a timeout.
  if (queue.requests.size() >= (failing() ? kInFlightLimit : kQueueLimit))
    return callback(refused_response());
  queue.requests.push_back({std::move(request), std::move(callback), std::move(before_send), context_.now});
  send_queued();
}

bool KeyValueClient::send_next(Queue& queue, double reserve) {
  if (queue.empty() || in_flight_.size() >= kInFlightLimit || !requests_.has_tokens(context_.now))
    return false;
  double writes = 0;
  auto* transaction = std::get_if<Transaction>(&queue.requests.front().request);
  if (transaction != nullptr) writes = static_cast<double>(transaction->writes.size());
  if (writes > 0 && !writes_.has_tokens(context_.now, std::min(writes + reserve, write_burst_))) return false;
  Pending next = std::move(queue.requests.front());
  queue.requests.pop_front();
  if (next.before_send && !next.before_send(std::get<Transaction>(next.request))) {
    next.callback(refused_response());
    return true;
  }
  requests_.try_take(context_.now);
  writes_.try_take(context_.now, writes);
  queue.last_sent_at = context_.now;
  send(std::move(next));
  return true;
}

void KeyValueClient::send_queued() {
  // A transaction that exceeds the current budget delays all other transactions, but not reads.
  while (send_next_transaction() || send_next_read()) {
  }
}

bool KeyValueClient::send_next_transaction() {
  const std::optional<RequestPriority> priority = next_priority();
  if (!priority) return false;
  // Lower priorities leave part of the budget for a burst of transactions of higher priority.
  double reserve = 0;
  if (*priority == RequestPriority::normal) reserve = write_burst_ / 8;
  if (*priority == RequestPriority::low) reserve = write_burst_ / 3;
  if (is_overdue(*priority)) reserve = 0;
  return send_next(transactions_[static_cast<std::size_t>(*priority)], reserve);
}

bool KeyValueClient::send_next_read() {
  const bool user_first = user_read_is_next_ ? !user_reads_.empty() : reads_.empty();
  if (!send_next(user_first ? user_reads_ : reads_, 0)) return false;
  user_read_is_next_ = !user_first;
  return true;
}

std::optional<RequestPriority> KeyValueClient::next_priority() const {
  if (queued_transactions(RequestPriority::lease) > 0) return RequestPriority::lease;
  for (const RequestPriority priority : {RequestPriority::normal, RequestPriority::low})
    if (is_overdue(priority)) return priority;
  for (const RequestPriority priority :
       {RequestPriority::high, RequestPriority::normal, RequestPriority::low})
    if (queued_transactions(priority) > 0) return priority;
  return std::nullopt;
}

bool KeyValueClient::is_overdue(RequestPriority priority) const {
  const Queue& queue = transactions_[static_cast<std::size_t>(priority)];
  if (queue.empty()) return false;
  const Micros delay = context_.now - std::max(queue.requests.front().queued_at, queue.last_sent_at);
  switch (priority) {
    case RequestPriority::lease:
    case RequestPriority::high:
      return false;
    case RequestPriority::normal:
      return delay >= kMaxNormalDelay;
    case RequestPriority::low:
      return delay >= kMaxLowDelay;
  }
  return false;
}

void KeyValueClient::send(Pending pending) {
  const std::uint64_t call = next_call_++;
  InFlight in_flight{std::move(pending.callback), context_.now, {}};
  if (context_.debug_enabled) in_flight.description = describe(pending.request);
  context_.debug([&] {
    return LogMessage("store request").detail("call", call).detail("request", in_flight.description);
  });
  in_flight_.emplace(call, std::move(in_flight));
  context_.emit(StoreCall{call, std::move(pending.request)});
}

void KeyValueClient::on_response(std::uint64_t call, const StoreResponse& response) {
  const auto entry = in_flight_.extract(call);
  if (entry.empty()) return;
  const InFlight& in_flight = entry.mapped();
  context_.debug([&] {
    return LogMessage("store response")
        .detail("call", call)
        .milliseconds("after_ms", context_.now - in_flight.sent_at)
        .detail("response", describe(response))
        .detail("request", in_flight.description);
  });
  record_outcome(response.outcome);
  in_flight.callback(response);
  send_queued();
}

void KeyValueClient::record_outcome(StoreResponse::Outcome outcome) {
  switch (outcome) {
    case StoreResponse::Outcome::ok:
    case StoreResponse::Outcome::absent:
    case StoreResponse::Outcome::conflict:
      last_success_ = context_.now;
      failing_since_.reset();
      return;
    case StoreResponse::Outcome::refused:
    case StoreResponse::Outcome::unknown:
      if (!failing_since_) failing_since_ = context_.now;
      return;
  }
}

}  // namespace bendtide
