// Tracks the calls to workers that await a response: pushed commands and probes.
#pragma once

#include <functional>

#include "core/state/controller_state.h"

namespace bendtide {

class WorkerCalls {
 public:
  /// Commands pushed to a machine, outside the reply to a heartbeat.
  struct Push {
    std::string shard;
    LeadershipTerm leadership_term = 0;
    std::string machine;
    FencingToken fencing_token = 0;
    Micros sent_at{0};              ///< steady clock
    std::vector<AttemptId> starts;  ///< the attempts that the commands start
  };
  using ProbeCallback = std::function<void(bool reachable)>;

  explicit WorkerCalls(ControllerState& state) : state_(state) {}

  /// Returns whether no more commands may be pushed until a pending push has ended. A call to an unreachable
  /// machine lasts until it times out, and occupies a socket that other calls need.
  bool push_limit_reached() const;
  void push(Push push, CommandRequest request);
  /// Checks whether a worker is reachable. Sends a request with incarnation 0 and fencing token 0, which no
  /// worker has: a reachable worker refuses the request and returns its status.
  void probe(const std::string& address, ProbeCallback done);

  /// Removes a probe that has ended and returns its callback; none if the call was not a probe.
  [[nodiscard]] std::optional<ProbeCallback> take_probe(std::uint64_t call);
  /// Removes and returns a push that has ended; none if no such push was in flight.
  [[nodiscard]] std::optional<Push> take_push(std::uint64_t call);

 private:
  ControllerState& state_;
  std::map<std::uint64_t, Push> pushes_;
  std::map<std::uint64_t, ProbeCallback> probes_;
  std::uint64_t next_call_ = 1;
};

}  // namespace bendtide
