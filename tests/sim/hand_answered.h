// A controller whose calls to the key-value store are answered by hand, in any order and as late as wished.
#pragma once

#include "sim/held_shard.h"

namespace bendtide::sim {

/// A controller whose calls to the key-value store are answered by hand, in any order.
struct HandAnswered : HeldShard {
  Jobs jobs{state, {[](Shard&) {}, [] {}}};
  std::vector<StoreCall> calls;
  std::vector<UserReply> replies;

  HandAnswered() {
    context.settings.teams = {{"t", {8000, 0}, {8000, 0}}};
    state.catalogue = {{"small", {8000, 0, 64000}, 50, 1, 1, 1, seconds(10), {"z"}}};
    state.routes["a"] = {"a", "life", 10, Micros{0}, true};
  }
  static JobSpec spec() {
    JobSpec out;
    out.id = kTask.job;
    out.team = "t";
    out.tasks = 1;
    out.each = {1000, 0, 1};
    return out;
  }
  void collect(const std::function<void()>& event) {
    context.actions.clear();
    event();
    for (const Action& action : context.actions) {
      if (auto* call = std::get_if<StoreCall>(&action)) calls.push_back(*call);
      if (auto* answer = std::get_if<AnswerUser>(&action)) replies.push_back(answer->reply);
    }
  }
  void submit() {
    collect([&] { jobs.on_submit(1, spec()); });
  }
  void cancel() {
    collect([&] { jobs.on_cancel(2, kTask.job); });
  }
  void tick() {
    collect([&] { jobs.tick(); });
  }
  void answer(std::size_t call, const StoreResponse& with) {
    collect([&] { state.store.on_response(calls.at(call).call, with); });
  }
  const Transaction& commit(std::size_t call) const { return std::get<Transaction>(calls.at(call).request); }
};

inline StoreResponse written(std::uint64_t revision) {
  StoreResponse answer;
  answer.outcome = StoreResponse::Outcome::ok;
  answer.revision = revision;
  return answer;
}

inline StoreResponse found(const std::string& key, Value value, std::uint64_t revision) {
  StoreResponse answer;
  answer.outcome = StoreResponse::Outcome::ok;
  answer.entries = {{key, std::move(value), revision}};
  return answer;
}

inline StoreResponse live_record() {
  const records::LiveJob record{"a", HandAnswered::spec(), seconds(1'000'000)};
  return found(records::live_key(kTask.job), records::to_json(record), 20);
}

}  // namespace bendtide::sim
