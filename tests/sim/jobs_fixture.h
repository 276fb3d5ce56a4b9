// The jobs of one controller that leads one shard. Tests make the requests of users, and give the responses
// of the key-value store and the replies of peers by hand: in any order, and as late as they like.
#pragma once

#include "sim/held_shard.h"

namespace bendtide::sim {

struct JobsFixture : HeldShard {
  Jobs jobs{state, {[](Shard&) {}, [] {}}};
  std::vector<StoreCall> calls;    ///< to the key-value store
  std::vector<JobQuery> queries;   ///< to peers
  std::vector<UserReply> replies;  ///< to users

  JobsFixture() {
    context.settings.teams = {{"t", {8000, 0}, {8000, 0}}};
    state.catalogue = {{"small", {8000, 0, 64000}, 50, 1, 1, 1, seconds(10), {"z"}}};
    state.routes["a"] = {"a", "life", 10, Micros{0}, true};
  }
  /// A peer that is reachable now.
  void add_peer(const std::string& host) {
    context.settings.peers.push_back({host, "z", host + ":1"});
    state.peers[host].last_health_at = context.now;
  }
  static JobSpec spec() {
    JobSpec out;
    out.id = kTask.job;
    out.team = "t";
    out.tasks = 1;
    out.task_resources = {1000, 0, 1};
    return out;
  }
  /// Makes an event happen, and collects the calls, queries and replies that it leads to.
  void collect(const std::function<void()>& event) {
    context.actions.clear();
    event();
    for (const Action& action : context.actions) {
      if (const auto* call = std::get_if<StoreCall>(&action)) calls.push_back(*call);
      if (const auto* answer = std::get_if<AnswerUser>(&action)) replies.push_back(answer->reply);
      if (const auto* send = std::get_if<PeerSend>(&action))
        if (const auto* query = std::get_if<JobQuery>(&send->message)) queries.push_back(*query);
    }
  }
  void submit() {
    collect([&] { jobs.on_submit(next_request++, spec()); });
  }
  void cancel() {
    collect([&] { jobs.on_cancel(next_request++, kTask.job); });
  }
  void poll(int times) {
    collect([&] {
      for (int i = 0; i < times; ++i) jobs.on_poll(next_request++, kTask.job);
    });
  }
  void tick() {
    collect([&] { jobs.tick(); });
  }
  /// The key-value store responds to one of the calls.
  void answer(std::size_t call, const StoreResponse& with) {
    collect([&] { state.store.on_response(calls.at(call).call, with); });
  }
  /// The key-value store responds to the call made last.
  void answer_last(const StoreResponse& with) { answer(calls.size() - 1, with); }
  const Transaction& commit(std::size_t call) const { return std::get<Transaction>(calls.at(call).request); }

  std::uint64_t next_request = 1;
};

inline StoreResponse written(std::uint64_t revision) {
  StoreResponse response;
  response.outcome = StoreResponse::Outcome::ok;
  response.revision = revision;
  return response;
}

inline StoreResponse absent() {
  StoreResponse response;
  response.outcome = StoreResponse::Outcome::absent;
  return response;
}

inline StoreResponse found(const std::string& key, Value value, std::uint64_t revision) {
  StoreResponse response;
  response.outcome = StoreResponse::Outcome::ok;
  response.entries = {{key, std::move(value), revision}};
  return response;
}

/// The record of the fixture's job as an unfinished job of `shard`.
inline StoreResponse live_record(const std::string& shard = "a") {
  const records::LiveJob record{shard, JobsFixture::spec(), seconds(1'000'000)};
  return found(records::live_key(kTask.job), records::to_json(record), 20);
}

}  // namespace bendtide::sim
