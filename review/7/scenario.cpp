// Case 7: the tasks of an array are offered to the other shards in ten portions at most. If the shard that
// owns the array has no machine left, the rest is never started, while machines of the other shards have
// room.
#include <algorithm>
#include <string>

#include "world.h"

using namespace world;

namespace {

constexpr double kMaxWaitS =
    90;  // hunt/LATER: "no job is left waiting for 90 s while a machine that fits has room"
constexpr int kTasks = 80;
constexpr double kTaskCpus = 2;

Deployment small_deployment() {
  Deployment d;
  d.teams = {{"platform-ops", 56, 136},
             {"search-team", 80, 136},
             {"curation", 40, 136},
             {"modelling", 32, 88},
             {"customer-onboarding", 32, 104}};
  d.hulls = {{"khao-medium", 16, 64, 1, 0.77, 20, {"bkk-a"}}};
  d.rentable = 0;  // the cloud has no capacity left: the three machines are all there is
  return d;
}

std::string id(const Job& job) { return job.body.at("uid"); }

}  // namespace

int main(int argc, char** argv) {
  const Arguments args = parse(argc, argv);
  World w(small_deployment(), args.program, args.folder, args.record);
  // One machine for each controller's shard: names are spread over the controllers of a zone by their number.
  Machine& m0 = w.cloud->add_running("khao-medium", "bkk-a", 3);
  Machine& m1 = w.cloud->add_running("khao-medium", "bkk-a", 4);
  Machine& m2 = w.cloud->add_running("khao-medium", "bkk-a", 5);
  w.start();
  if (!w.wait_until_healthy(10)) finish(w, 2, "the controllers did not become healthy");

  // Services take half of the machines of helm-1 and helm-2.
  const Job beside1{World::job_body(101, "platform-ops", "daemon", 1, 8), 1e6};
  const Job beside2{World::job_body(102, "search-team", "daemon", 1, 8), 1e6};
  if (!w.submit_until_accepted(1, beside1, 6) || !w.submit_until_accepted(2, beside2, 6))
    finish(w, 2, "a service was not accepted");
  if (!w.wait_for([&] { return m1.holds(id(beside1)) && m2.holds(id(beside2)) && m0.free_cpus() == 16; }, 8))
    finish(w, 2, "the services do not run");
  if (args.trouble) m0.die();

  Job array{World::job_body(200, "curation", "sweep", kTasks, kTaskCpus), 0.5};
  array.body["rank"] = "normal";
  array.body["expectS"] = 1.0;
  array.body["pullGb"] = 0.1;
  if (!w.submit_until_accepted(0, array, 6)) finish(w, 2, "the array was not accepted");

  const double begun_at = now();
  double waiting_since = -1;
  double noted_at = 0;
  while (now() < 117) {
    std::size_t completed = 0;
    {
      const std::lock_guard<std::recursive_mutex> lock(w.mutex);
      completed = w.completed.size();
      const bool room = std::max(m1.free_cpus(), m2.free_cpus()) >= kTaskCpus;
      const bool under_limit = w.cpus_used_by_team("curation") + kTaskCpus <= 136;
      const bool waits = completed < kTasks && !w.is_on_a_machine(id(array));
      // The controllers cannot know before the lease of the worker has ended that nothing is on the first
      // machine.
      const bool lease_over = now() - begun_at >= w.deployment.lease_s;
      if (!waits || !room || !under_limit || !lease_over) waiting_since = -1;
      if (waits && room && under_limit && lease_over && waiting_since < 0) waiting_since = now();
    }
    if (now() - noted_at > 2) {
      noted_at = now();
      w.note(std::to_string(completed) + " tasks of the array are completed");
    }
    if (completed == kTasks) finish(w, 0, "all tasks of the array were completed");
    if (waiting_since >= 0 && now() - waiting_since > kMaxWaitS) {
      w.note("free CPUs: " + m1.name() + " " + std::to_string(m1.free_cpus()) + ", " + m2.name() + " " +
             std::to_string(m2.free_cpus()));
      for (int i = 0; i < 3; ++i) w.poll(i, id(array));
      finish(w, 1,
             "the array has waited for over 90 s while machines that fit had room, with " +
                 std::to_string(completed) + " of 80 tasks completed");
    }
    sleep_s(0.1);
  }
  finish(w, 2, "neither all tasks were completed nor did the array wait for 90 s without a break");
}
