// Stand-ins for the key-value store, the cloud and the workers, written to the published protocol: they take
// requests and give answers in its JSON, so that wire/ is tested along with the core.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <random>

#include "core/model/machine_type.h"
#include "core/model/worker_messages.h"
#include "core/runtime/token_bucket.h"
#include "sim/checker.h"
#include "wire/http_request.h"

namespace bendtide::sim {

struct Response {
  int status = 0;
  std::string body;
};

/// The key-value store: versions, leases, rates, outages.
class StateService {
 public:
  explicit StateService(const Settings& s)
      : calls_(s.store_requests_per_s, s.store_requests_per_s),
        writes_(s.store_writes_per_s, s.store_writes_per_s),
        most_writes_(s.store_transaction_writes),
        value_bytes_(s.store_value_bytes) {}

  Response handle(const wire::HttpRequest& request, Micros now);
  /// An outage; when it ends, every lease has its full time again.
  void outage(bool on, Micros now);
  std::size_t keys() const { return data_.size(); }
  /// Everything that is stored, with its revisions and leases.
  nlohmann::json snapshot() const;
  /// Replaces what is stored by a snapshot; every lease has its full time again.
  void restore(const nlohmann::json& snapshot, Micros now);
  std::size_t refused() const { return refused_; }
  std::size_t too_large() const { return too_large_; }

 private:
  struct Entry {  // NOLINT(bugprone-exception-escape): moving a JSON value throws nothing
    nlohmann::json value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Micros term{0};
    Micros until{0};
  };
  void expire(Micros now);
  Response multi(const nlohmann::json& body, Micros now);

  TokenBucket calls_, writes_;
  std::size_t most_writes_, value_bytes_;
  std::map<std::string, Entry> data_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1;
  bool out_ = false;
  std::size_t refused_ = 0;
  std::size_t too_large_ = 0;
};

class Worker;

/// Rents machines; each comes up as a worker.
class Cloud {
 public:
  struct Machine {
    std::string name, type, zone;
    std::string address;  ///< of its worker
    bool spot = false;
    Micros rented{0};
    std::unique_ptr<Worker> worker;
    bool dead = false;
  };
  using Boot = std::function<void(Machine&)>;

  Cloud(std::vector<MachineType> types, int capacity, Boot boot)
      : types_(std::move(types)), capacity_(capacity), boot_(std::move(boot)) {}

  Response handle(const wire::HttpRequest& request, Micros now);
  Machine& add(const std::string& type, const std::string& zone, bool spot, Micros now);
  void die(Machine& machine);
  std::map<std::string, Machine>& machines() { return machines_; }
  const MachineType* type(const std::string& name) const;
  void outage(bool on) { out_ = on; }

 private:
  std::vector<MachineType> types_;
  int capacity_;
  Boot boot_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::string> idempotency_keys_;
  std::uint64_t next_ = 1;
  bool out_ = false;
};

/// One machine's worker: incarnations, fencing tokens, leases, commands, images and tasks.
class Worker {
 public:
  struct Hooks {
    std::function<const JobSpec*(const std::string&)> job;
    std::function<Micros(const TaskId&)> run_time;
    Checker* checker;
  };
  Worker(Cloud::Machine& machine, const MachineType& type, const Settings& settings, Hooks hooks, Micros now);

  /// Lets time pass: fetches and runs tasks, and ends the lease.
  void advance(Micros now);
  /// Whether a heartbeat is due; then its body.
  bool wants_report(Micros now) const;
  std::string report(Micros now);
  void report_answered(int status, const std::string& body, Micros now);
  bool reporting() const { return reporting_; }
  /// What is left beside the tasks that it holds, and how many these are.
  Resources free() const;
  std::size_t busy() const;
  bool well() const { return !hanging && !sick && !deaf && !mute; }
  void report_failed(Micros now);
  Response orders(const std::string& body, Micros now);
  void stop();
  void restart(Micros now) { new_session(now); }
  void take_away(Micros in) { notice_ = in; }

  std::string target;         ///< the controller it reports to
  std::size_t next_node = 0;  ///< the one to be tried next, if none is known
  Micros retry_at{0};
  bool hanging = false;
  bool sick = false;
  bool deaf = false;  ///< nothing reaches it
  bool mute = false;  ///< it reaches no controller
  std::uint64_t report_number = 0;
  std::size_t failures = 0;  ///< tasks that failed here

 private:
  using Key = std::pair<TaskId, std::uint64_t>;
  struct Held {
    TaskPhase phase = TaskPhase::fetching;
    ExitCause cause = ExitCause::none;
    Micros until{0};
  };
  Heartbeat status(Micros now);
  void execute(const nlohmann::json& orders, Micros now);
  void start(const TaskId& task, std::uint64_t attempt, Micros now);
  void new_session(Micros now);
  /// Ends a task that is on the machine, as far as the rules see it.
  void leave(const Key& key, const Held& held) const;

  Cloud::Machine& machine_;
  const MachineType type_;
  const Settings& settings_;
  Hooks hooks_;
  std::uint64_t session_ = 1, sequence_ = 0, token_ = 0;
  Micros session_began_{0}, renewed_{0}, last_report_{0}, sent_{0};
  std::uint64_t sent_session_ = 0;
  bool reporting_ = false, changed_ = true;
  std::optional<Micros> notice_;
  std::map<Key, Held> tasks_;
  std::set<std::string> images_;
};

}  // namespace bendtide::sim
