#include "core/kvstore/key_value_client.h"

namespace bendtide {

namespace {

/// Each controller keeps to an equal slice, a little below it: the others' clocks drift against ours.
constexpr double kRateShare = 0.9;
constexpr std::size_t kEntriesShown = 4;  ///< of an answer, in the log

/// A request as the log shows it: its keys carry the ids of jobs and the names of shards.
std::string describe(const StoreRequest& request) {
  struct Visitor {
    std::string operator()(const GetKey& get) { return "get " + get.key; }
    std::string operator()(const ListPrefix& list) {
      return "list " + list.prefix + " after '" + list.after + "'";
    }
    std::string operator()(const GrantLease&) { return "a new lease"; }
    std::string operator()(const RenewLease& renew) { return "renew lease " + to_string(renew.lease); }
    std::string operator()(const Transaction& commit) {
      std::string out;
      for (const Write& write : commit.writes) out += (write.value ? "put " : "remove ") + write.key + ", ";
      out += "if";
      for (const Compare& compare : commit.compares)
        out += " " + compare.key + "@" + to_string(compare.revision);
      return out;
    }
  };
  return std::visit(Visitor{}, request);
}

std::string describe(const StoreResponse& answer) {
  std::string out;
  switch (answer.outcome) {
    case StoreResponse::Outcome::ok:
      out = "ok";
      break;
    case StoreResponse::Outcome::absent:
      out = "absent";
      break;
    case StoreResponse::Outcome::conflict:
      out = "conflict at";
      break;
    case StoreResponse::Outcome::refused:
      out = "refused";
      break;
    case StoreResponse::Outcome::unknown:
      out = "no answer";
      break;
  }
  for (const std::string& key : answer.failed) out += " " + key;
  if (answer.revision != 0) out += ", revision " + to_string(answer.revision);
  if (answer.lease != 0) out += ", lease " + to_string(answer.lease);
  if (answer.entries.size() > kEntriesShown)
    return out + ", " + std::to_string(answer.entries.size()) + " rows";
  for (const KeyValue& entry : answer.entries) out += ", " + entry.key + "@" + to_string(entry.revision);
  return out;
}

}  // namespace

KeyValueClient::KeyValueClient(Context& context)
    : context_(context),
      write_burst_(std::max(
          static_cast<double>(context.settings.store_transaction_writes),
          0.5 * context.settings.store_writes_per_s / static_cast<double>(context.settings.controllers()))),
      calls_(kRateShare * context.settings.store_requests_per_s /
                 static_cast<double>(context.settings.controllers()),
             std::max(2.0, 0.5 * context.settings.store_requests_per_s /
                               static_cast<double>(context.settings.controllers()))),
      writes_(kRateShare * context.settings.store_writes_per_s /
                  static_cast<double>(context.settings.controllers()),
              write_burst_) {}

void KeyValueClient::get(std::string key, Callback callback) {
  enqueue(reads_, GetKey{std::move(key)}, std::move(callback));
}

void KeyValueClient::commit(Transaction transaction, Callback callback, RequestPriority priority) {
  enqueue(transactions_[static_cast<std::size_t>(priority)], std::move(transaction), std::move(callback));
}

void KeyValueClient::lease(Micros term, Callback callback) { send({GrantLease{term}, std::move(callback)}); }

void KeyValueClient::renew(StoreLeaseId lease, Callback callback) {
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
           callback = std::move(callback)](const StoreResponse& answer) mutable {
            if (!answer.ok()) return callback(answer);
            for (const KeyValue& entry : answer.entries) entries.push_back(entry);
            if (answer.more && !answer.entries.empty())
              return list_page(std::move(prefix), answer.entries.back().key, std::move(entries),
                               std::move(callback));
            StoreResponse whole;
            whole.outcome = StoreResponse::Outcome::ok;
            whole.entries = std::move(entries);
            whole.revision = answer.revision;
            callback(whole);
          });
}

void KeyValueClient::enqueue(Queue& queue, StoreRequest request, Callback callback) {
  // While nothing is answered, more than a few calls would only wait for their time-outs.
  if (queue.size() >= (failing() ? kInFlightLimit : kQueueLimit)) {
    StoreResponse refused;
    refused.outcome = StoreResponse::Outcome::refused;
    return callback(refused);
  }
  queue.push_back({std::move(request), std::move(callback)});
  send_queued();
}

bool KeyValueClient::send_next(Queue& queue, double reserve) {
  if (queue.empty() || in_flight_.size() >= kInFlightLimit || !calls_.has(context_.now)) return false;
  double writes = 0;
  if (const auto* transaction = std::get_if<Transaction>(&queue.front().request))
    writes = static_cast<double>(transaction->writes.size());
  if (writes > 0 && !writes_.has(context_.now, std::min(writes + reserve, write_burst_))) return false;
  calls_.take(context_.now);
  writes_.take(context_.now, writes);
  Pending next = std::move(queue.front());
  queue.pop_front();
  send(std::move(next));
  return true;
}

/// A commit that the budget does not allow yet holds back those of lower rank, but no reads. What can wait
/// leaves a part of the budget for a burst of what can't.
void KeyValueClient::send_queued() {
  for (;;) {
    if (send_next(transactions_[0], 0)) continue;
    if (transactions_[0].empty() && send_next(transactions_[1], write_burst_ / 8)) continue;
    if (transactions_[0].empty() && transactions_[1].empty() && send_next(transactions_[2], write_burst_ / 3))
      continue;
    if (!send_next(reads_, 0)) return;
  }
}

void KeyValueClient::send(Pending p) {
  std::uint64_t call = next_call_++;
  InFlight in_flight{std::move(p.callback), context_.now, {}};
  context_.debug([&] {
    in_flight.what = describe(p.request);
    return "state call " + std::to_string(call) + " asks: " + in_flight.what;
  });
  in_flight_.emplace(call, std::move(in_flight));
  context_.act(StoreCall{call, std::move(p.request)});
}

void KeyValueClient::on_answer(std::uint64_t call, const StoreResponse& answer) {
  auto it = in_flight_.find(call);
  if (it == in_flight_.end()) return;
  const InFlight in_flight = std::move(it->second);
  in_flight_.erase(it);
  context_.debug([&] {
    return "state call " + std::to_string(call) + " is answered after " +
           std::to_string((context_.now - in_flight.sent).count() / 1000) + " ms: " + describe(answer) +
           "; asked: " + in_flight.what;
  });
  if (answer.outcome != StoreResponse::Outcome::refused &&
      answer.outcome != StoreResponse::Outcome::unknown) {
    last_answer_ = context_.now;
    failing_since_.reset();
  } else if (!failing_since_) {
    failing_since_ = context_.now;
  }
  in_flight.callback(answer);
  send_queued();
}

}  // namespace bendtide
