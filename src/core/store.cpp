#include "core/store.h"

namespace bendtide {

namespace {

/// Each controller keeps to an equal slice, a little below it: the others' clocks drift against ours.
constexpr double kSlice = 0.9;
constexpr std::size_t kRowsShown = 4;  ///< of an answer, in the log

/// A request as the log shows it: its keys carry the ids of jobs and the names of parts.
std::string describe(const StateRequest& request) {
  struct Visitor {
    std::string operator()(const StateGet& get) { return "get " + get.key; }
    std::string operator()(const StateList& list) {
      return "list " + list.prefix + " after '" + list.after + "'";
    }
    std::string operator()(const StateLease&) { return "a new lease"; }
    std::string operator()(const StateRenew& renew) { return "renew lease " + std::to_string(renew.lease); }
    std::string operator()(const StateCommit& commit) {
      std::string out;
      for (const Write& write : commit.writes) out += (write.value ? "put " : "remove ") + write.key + ", ";
      out += "if";
      for (const Condition& condition : commit.conditions)
        out += " " + condition.key + "@" + std::to_string(condition.stamp);
      return out;
    }
  };
  return std::visit(Visitor{}, request);
}

std::string describe(const StateAnswer& answer) {
  std::string out;
  switch (answer.outcome) {
    case StateAnswer::Outcome::ok:
      out = "ok";
      break;
    case StateAnswer::Outcome::absent:
      out = "absent";
      break;
    case StateAnswer::Outcome::conflict:
      out = "conflict at";
      break;
    case StateAnswer::Outcome::refused:
      out = "refused";
      break;
    case StateAnswer::Outcome::lost:
      out = "no answer";
      break;
  }
  for (const std::string& key : answer.failed) out += " " + key;
  if (answer.revision != 0) out += ", revision " + std::to_string(answer.revision);
  if (answer.lease != 0) out += ", lease " + std::to_string(answer.lease);
  if (answer.rows.size() > kRowsShown) return out + ", " + std::to_string(answer.rows.size()) + " rows";
  for (const StateRow& row : answer.rows) out += ", " + row.key + "@" + std::to_string(row.stamp);
  return out;
}

}  // namespace

Store::Store(Context& context)
    : context_(context),
      most_writes_(std::max(
          static_cast<double>(context.settings.state_transaction_writes),
          0.5 * context.settings.state_writes_per_s / static_cast<double>(context.settings.controllers()))),
      calls_(
          kSlice * context.settings.state_calls_per_s / static_cast<double>(context.settings.controllers()),
          std::max(2.0, 0.5 * context.settings.state_calls_per_s /
                            static_cast<double>(context.settings.controllers()))),
      writes_(
          kSlice * context.settings.state_writes_per_s / static_cast<double>(context.settings.controllers()),
          most_writes_) {}

void Store::get(std::string key, Done done) { enqueue(reads_, StateGet{std::move(key)}, std::move(done)); }

void Store::commit(StateCommit txn, Done done, Rank rank) {
  enqueue(commits_[static_cast<std::size_t>(rank)], std::move(txn), std::move(done));
}

void Store::lease(Micros term, Done done) { send({StateLease{term}, std::move(done)}); }

void Store::renew(std::uint64_t lease, Done done) { send({StateRenew{lease}, std::move(done)}); }

void Store::list(std::string prefix, Done done) { list_page(std::move(prefix), "", {}, std::move(done)); }

void Store::list_page(std::string prefix, std::string after, std::vector<StateRow> rows, Done done) {
  StateList page{prefix, std::move(after)};
  enqueue(reads_, std::move(page),
          [this, prefix = std::move(prefix), rows = std::move(rows),
           done = std::move(done)](const StateAnswer& answer) mutable {
            if (!answer.ok()) return done(answer);
            for (const StateRow& row : answer.rows) rows.push_back(row);
            if (answer.more && !answer.rows.empty())
              return list_page(std::move(prefix), answer.rows.back().key, std::move(rows), std::move(done));
            StateAnswer whole;
            whole.outcome = StateAnswer::Outcome::ok;
            whole.rows = std::move(rows);
            whole.revision = answer.revision;
            done(whole);
          });
}

void Store::enqueue(Queue& queue, StateRequest request, Done done) {
  // While nothing is answered, more than a few calls would only wait for their time-outs.
  if (queue.size() >= (failing() ? kInFlight : kQueue)) {
    StateAnswer refused;
    refused.outcome = StateAnswer::Outcome::refused;
    return done(refused);
  }
  queue.push_back({std::move(request), std::move(done)});
  pump();
}

bool Store::send_next(Queue& queue, double reserve) {
  if (queue.empty() || in_flight_.size() >= kInFlight || !calls_.has(context_.now)) return false;
  double writes = 0;
  if (const auto* txn = std::get_if<StateCommit>(&queue.front().request))
    writes = static_cast<double>(txn->writes.size());
  if (writes > 0 && !writes_.has(context_.now, std::min(writes + reserve, most_writes_))) return false;
  calls_.take(context_.now);
  writes_.take(context_.now, writes);
  Pending next = std::move(queue.front());
  queue.pop_front();
  send(std::move(next));
  return true;
}

/// A commit that the budget does not allow yet holds back those of lower rank, but no reads. What can wait
/// leaves a part of the budget for a burst of what can't.
void Store::pump() {
  for (;;) {
    if (send_next(commits_[0], 0)) continue;
    if (commits_[0].empty() && send_next(commits_[1], most_writes_ / 8)) continue;
    if (commits_[0].empty() && commits_[1].empty() && send_next(commits_[2], most_writes_ / 3)) continue;
    if (!send_next(reads_, 0)) return;
  }
}

void Store::send(Pending p) {
  std::uint64_t call = next_call_++;
  InFlight in_flight{std::move(p.done), context_.now, {}};
  context_.debug([&] {
    in_flight.what = describe(p.request);
    return "state call " + std::to_string(call) + " asks: " + in_flight.what;
  });
  in_flight_.emplace(call, std::move(in_flight));
  context_.act(StateCall{call, std::move(p.request)});
}

void Store::on_answer(std::uint64_t call, const StateAnswer& answer) {
  auto it = in_flight_.find(call);
  if (it == in_flight_.end()) return;
  const InFlight in_flight = std::move(it->second);
  in_flight_.erase(it);
  context_.debug([&] {
    return "state call " + std::to_string(call) + " is answered after " +
           std::to_string((context_.now - in_flight.sent).count() / 1000) + " ms: " + describe(answer) +
           "; asked: " + in_flight.what;
  });
  if (answer.outcome != StateAnswer::Outcome::refused && answer.outcome != StateAnswer::Outcome::lost) {
    last_answer_ = context_.now;
    failing_since_.reset();
  } else if (!failing_since_) {
    failing_since_ = context_.now;
  }
  in_flight.done(answer);
  pump();
}

}  // namespace bendtide
