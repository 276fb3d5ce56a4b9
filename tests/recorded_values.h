// Values of core types that several cases of the recorded-bytes test share. The strings that name them are
// part of the recorded data.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "core/model/worker_messages.h"

namespace bendtide::recorded {

/// Values with the names that they have in the recorded cases.
template <class T>
using Named = std::vector<std::pair<std::string, T>>;

inline Named<Priority> priorities() {
  return {{"low", Priority::low},
          {"normal", Priority::normal},
          {"high", Priority::high},
          {"production", Priority::production}};
}

inline Named<JobPhase> job_phases() {
  return {{"pending", JobPhase::pending},
          {"running", JobPhase::running},
          {"done", JobPhase::done},
          {"cancelled", JobPhase::cancelled}};
}

inline Named<TaskPhase> task_phases() {
  return {{"fetching", TaskPhase::fetching},
          {"running", TaskPhase::running},
          {"saving", TaskPhase::saving},
          {"exited", TaskPhase::exited}};
}

inline Named<ExitCause> exit_causes() {
  return {{"done", ExitCause::done},     {"stopped", ExitCause::stopped},
          {"failed", ExitCause::failed}, {"no room", ExitCause::insufficient_resources},
          {"busy", ExitCause::busy},     {"unknown", ExitCause::unknown}};
}

/// An array job without optional fields.
inline JobSpec plain_job() {
  JobSpec s;
  s.id = "run-1";
  s.job_class = "batch";
  s.team = "blue";
  s.tasks = 4;
  s.task_resources = {2500, 0, 8000};
  s.image = "registry/image:1";
  s.image_gb = 1.25;
  s.estimated_task_duration = seconds(30);
  return s;
}

/// A job with every optional field.
inline JobSpec full_job() {
  JobSpec s = plain_job();
  s.id = "run-9007199254740993";
  s.tasks = 100'000;
  s.task_resources = {1, 1000, 1'000'000'000};
  s.types = {"small", "large"};
  s.zone = "east";
  s.one_zone = true;
  s.spread = true;
  s.spot = true;
  s.image_gb = 0.1;
  s.checkpoint_interval = seconds(5);
  s.save_duration = millis(1500);
  s.deadline = seconds(90);
  return s;
}

inline Named<JobSpec> job_specs() {
  Named<JobSpec> out = {{"plain", plain_job()}, {"full", full_job()}};
  for (const auto& [name, priority] : priorities()) {
    out.emplace_back("of priority " + name, plain_job());
    out.back().second.priority = priority;
  }
  auto with = [&out](const char* name, auto&& change) {
    out.emplace_back(name, plain_job());
    change(out.back().second);
  };
  with("service", [](JobSpec& s) { s.shape = Shape::service; });
  with("with one type", [](JobSpec& s) { s.types = {"small"}; });
  with("with a zone", [](JobSpec& s) { s.zone = "west"; });
  with("in one zone", [](JobSpec& s) { s.one_zone = true; });
  with("spread", [](JobSpec& s) { s.spread = true; });
  with("on spot machines", [](JobSpec& s) { s.spot = true; });
  with("with checkpoints", [](JobSpec& s) { s.checkpoint_interval = seconds(5); });
  with("with a time to save", [](JobSpec& s) { s.save_duration = Micros{1}; });
  with("with a deadline", [](JobSpec& s) { s.deadline = seconds(90); });
  with("with a deadline of zero", [](JobSpec& s) { s.deadline = Micros{0}; });
  with("with a large image", [](JobSpec& s) { s.image_gb = 1e9; });
  return out;
}

inline std::vector<MachineType> machine_types() {
  return {{"small", {8000, 0, 64000}, 50, 0.8, 0.5, 0.12, seconds(6), {"east", "west"}},
          {"cards", {96000, 8000, 1'000'000}, 0.1, 1e-3, 32.77, 0, Micros{1}, {}}};
}

}  // namespace bendtide::recorded
