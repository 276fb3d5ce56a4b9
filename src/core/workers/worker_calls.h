// Calls to workers whose responses are awaited: pushed commands, and probes.
#pragma once

#include <functional>

#include "core/state/controller_state.h"

namespace bendtide {

class WorkerCalls {
 public:
  /// Commands that are pushed to a machine, outside the reply to a heartbeat.
  struct Push {
    std::string shard;
    LeadershipTerm leadership_term = 0;
    std::string machine;
    FencingToken fencing_token = 0;
    Micros sent_at{0};              ///< steady clock
    std::vector<AttemptId> starts;  ///< the attempts that they start
  };
  using ProbeCallback = std::function<void(bool reachable)>;

  explicit WorkerCalls(ControllerState& state) : state_(state) {}

  /// Whether no more commands may be pushed until a response has come. Calls to machines that can't be
  /// reached last until they time out, and each takes a socket that others would wait for.
  bool push_limit_reached() const;
  void push(Push push, CommandRequest request);
  /// Finds out whether a worker can be reached: it refuses the request, as no incarnation and fencing token
  /// are 0, and returns its status.
  void probe(const std::string& address, ProbeCallback done);

  /// The callback of a probe that has ended, or none if the call was no probe.
  [[nodiscard]] std::optional<ProbeCallback> take_probe(std::uint64_t call);
  /// A push that has ended, or none if no such push was in flight.
  [[nodiscard]] std::optional<Push> take_push(std::uint64_t call);

 private:
  ControllerState& state_;
  std::map<std::uint64_t, Push> pushes_;
  std::map<std::uint64_t, ProbeCallback> probes_;
  std::uint64_t next_call_ = 1;
};

}  // namespace bendtide
