// The jobs of one controller that leads one shard. A test makes the requests of users, and passes in each
// response of the key-value store and each reply of a peer itself, so it controls their order and delay.
#pragma once

#include "sim/held_shard.h"

namespace bendtide::sim {

struct JobsFixture : HeldShard {
  Jobs jobs{state, {[](Shard&) {}, [] {}}};
  std::vector<StoreCall> calls;    ///< made to the key-value store
  std::vector<JobQuery> queries;   ///< sent to peers
  std::vector<UserReply> replies;  ///< sent to users

  JobsFixture() {
    context.settings.teams = {{"t", {8000, 0}, {8000, 0}}};
    state.catalogue = {{"small", {8000, 0, 64000}, 50, 1, 1, 1, seconds(10), {"z"}}};
    state.routes["a"] = {"a", "life", 10, Micros{0}, true};
  }
  /// Adds a peer that is reachable now.
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
  /// Calls `event`, and collects the resulting calls, queries and replies.
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
  /// Polls the job `times` times within one event.
  void poll(int times) {
    collect([&] {
      for (int i = 0; i < times; ++i) jobs.on_poll(next_request++, kTask.job);
    });
  }
  void tick() {
    collect([&] { jobs.tick(); });
  }
  /// Delivers a response of the key-value store to the call at index `call` of `calls`.
  void respond(std::size_t call, const StoreResponse& with) {
    collect([&] { state.store.on_response(calls.at(call).call, with); });
  }
  /// Delivers a response of the key-value store to the most recent call.
  void respond_to_last(const StoreResponse& with) { respond(calls.size() - 1, with); }
  /// The transaction that the call at index `call` of `calls` commits.
  const Transaction& transaction_of(std::size_t call) const {
    return std::get<Transaction>(calls.at(call).request);
  }

  std::uint64_t next_request = 1;
};

/// The response to a successful write.
inline StoreResponse write_response(std::uint64_t revision) {
  StoreResponse response;
  response.outcome = StoreResponse::Outcome::ok;
  response.revision = revision;
  return response;
}

/// The response to a read of a key that does not exist.
inline StoreResponse absent_response() {
  StoreResponse response;
  response.outcome = StoreResponse::Outcome::absent;
  return response;
}

/// The response to a read of a key that exists.
inline StoreResponse read_response(const std::string& key, Value value, std::uint64_t revision) {
  StoreResponse response;
  response.outcome = StoreResponse::Outcome::ok;
  response.entries = {{key, std::move(value), revision}};
  return response;
}

/// The response to a read of the record of kTask's job, as an unfinished job of `shard`.
inline StoreResponse live_record(const std::string& shard = "a") {
  const records::LiveJob record{shard, JobsFixture::spec(), seconds(1'000'000)};
  return read_response(records::live_key(kTask.job), records::to_json(record), 20);
}

}  // namespace bendtide::sim
