#include "core/store.h"

namespace bendtide {

namespace {

/// Each controller keeps to an equal slice, a little below it: the others' clocks drift against ours.
constexpr double kSlice = 0.9;

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
  in_flight_.emplace(call, std::move(p.done));
  context_.act(StateCall{call, std::move(p.request)});
}

void Store::on_answer(std::uint64_t call, const StateAnswer& answer) {
  auto it = in_flight_.find(call);
  if (it == in_flight_.end()) return;
  Done done = std::move(it->second);
  in_flight_.erase(it);
  if (answer.outcome != StateAnswer::Outcome::refused && answer.outcome != StateAnswer::Outcome::lost) {
    last_answer_ = context_.now;
    failing_since_.reset();
  } else if (!failing_since_) {
    failing_since_ = context_.now;
  }
  done(answer);
  pump();
}

}  // namespace bendtide
