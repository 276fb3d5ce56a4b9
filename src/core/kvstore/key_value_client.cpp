#include "core/kvstore/key_value_client.h"

#include "core/kvstore/request_description.h"

namespace bendtide {

namespace {

/// Each controller stays slightly below an equal share of the rate, because the clocks of controllers drift
/// against each other.
constexpr double kRateMargin = 0.9;
constexpr double kBurstSeconds = 0.5;     ///< seconds of an equal share that may be sent in one burst
constexpr double kMinRequestBurst = 2.0;  ///< the smallest burst of requests

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

void KeyValueClient::get(std::string key, Callback callback) {
  enqueue(reads_, GetKey{std::move(key)}, std::move(callback));
}

void KeyValueClient::commit(Transaction transaction, Callback callback, RequestPriority priority) {
  enqueue(transactions_[static_cast<std::size_t>(priority)], std::move(transaction), std::move(callback));
}

void KeyValueClient::grant_lease(Micros term, Callback callback) {
  send({GrantLease{term}, std::move(callback)});
}

void KeyValueClient::renew_lease(StoreLeaseId lease, Callback callback) {
  send({RenewLease{lease}, std::move(callback)});
}

void KeyValueClient::list(std::string prefix, Callback callback) {
  list_page(std::move(prefix), "", {}, std::move(callback));
}

void KeyValueClient::list_page(std::string prefix, std::string after, std::vector<KeyValue> entries,
                               Callback callback) {
  ListPrefix page{prefix, std::move(after)};
  enqueue(reads_, std::move(page),
          [this, prefix = std::move(prefix), entries = std::move(entries),
           callback = std::move(callback)](const StoreResponse& response) mutable {
            if (!response.ok()) return callback(response);
            for (const KeyValue& entry : response.entries) entries.push_back(entry);
            if (response.more && !response.entries.empty())
              return list_page(std::move(prefix), response.entries.back().key, std::move(entries),
                               std::move(callback));
            StoreResponse all_pages;
            all_pages.outcome = StoreResponse::Outcome::ok;
            all_pages.entries = std::move(entries);
            all_pages.revision = response.revision;
            callback(all_pages);
          });
}

void KeyValueClient::enqueue(Queue& queue, StoreRequest request, Callback callback) {
  // While the key-value store is failing, a longer queue would only contain requests that wait for a timeout.
  if (queue.size() >= (failing() ? kInFlightLimit : kQueueLimit)) {
    StoreResponse refused;
    refused.outcome = StoreResponse::Outcome::refused;
    return callback(refused);
  }
  queue.push_back({std::move(request), std::move(callback)});
  send_queued();
}

bool KeyValueClient::send_next(Queue& queue, double reserve) {
  if (queue.empty() || in_flight_.size() >= kInFlightLimit || !requests_.has_tokens(context_.now))
    return false;
  double writes = 0;
  if (const auto* transaction = std::get_if<Transaction>(&queue.front().request))
    writes = static_cast<double>(transaction->writes.size());
  if (writes > 0 && !writes_.has_tokens(context_.now, std::min(writes + reserve, write_burst_))) return false;
  requests_.try_take(context_.now);
  writes_.try_take(context_.now, writes);
  Pending next = std::move(queue.front());
  queue.pop_front();
  send(std::move(next));
  return true;
}

void KeyValueClient::send_queued() {
  // A transaction that exceeds the current budget delays transactions of lower priority, but not reads. Lower
  // priorities leave part of the budget for a burst of transactions of higher priority.
  auto& [high, normal, low] = transactions_;
  const double normal_reserve = write_burst_ / 8;
  const double low_reserve = write_burst_ / 3;
  for (;;) {
    if (send_next(high, 0)) continue;
    if (high.empty() && send_next(normal, normal_reserve)) continue;
    if (high.empty() && normal.empty() && send_next(low, low_reserve)) continue;
    if (!send_next(reads_, 0)) return;
  }
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
