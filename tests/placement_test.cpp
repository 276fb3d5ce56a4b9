// Where tasks are placed, and which machines are created for tasks that find no capacity.

#include <gtest/gtest.h>

#include "core/provisioning/autoscaler.h"
#include "sim/held_shard.h"

namespace bendtide::sim {
namespace {

/// A shard with running machines, a catalogue of machine types, and an autoscaler whose calls to the cloud
/// get no response.
struct ScalingShard : HeldShard {
  Scheduler scheduler{state, fleet};
  Autoscaler autoscaler{state, fleet};

  ScalingShard() {
    state.catalogue = {{"small", {8000, 0, 64000}, 50, 0.1, 0.5, 0.12, seconds(40), {"z"}}};
    context.settings.teams = {{"t", {8000, 0}, {80'000, 0}}, {"guests", {}, {80'000, 0}}};
    shard.quota.load({{"t", {80'000, 0}}, {"guests", {80'000, 0}}}, 1);
    shard.machines.clear();
  }
  /// Adds a running, reconciled machine whose last status was received just now.
  Machine& add_machine(const std::string& name, bool spot = false) {
    Machine& m = fleet.add(shard, machine_from({name, "small", "z", spot, name + ":1", context.wall}), true);
    m.size = {8000, 0, 64000};
    m.liveness.status_received = true;
    return m;
  }
  /// Adds a machine that was created `age` ago and is still booting.
  Machine& add_booting(const std::string& name, Micros age) {
    Machine& m = fleet.add(shard, machine_from({name, "small", "z", false, "", context.wall - age}), false);
    m.size = {8000, 0, 64000};
    return m;
  }
  Job& load_job(const std::string& id, const std::string& team, Shape shape, Priority priority,
                std::uint32_t tasks) {
    records::LiveJob record;
    record.shard = "a";
    record.accepted_at = context.wall;
    record.spec.id = id;
    record.spec.team = team;
    record.spec.job_class = team;
    record.spec.shape = shape;
    record.spec.priority = priority;
    record.spec.tasks = tasks;
    record.spec.task_resources = {4000, 0, 1000};
    record.spec.image = "image";
    record.spec.image_gb = 2;
    record.spec.estimated_task_duration = seconds(60);
    record.spec.spot = true;
    return Jobs::load(shard, record);
  }
  /// Runs one tick of the autoscaler, with no peer that has capacity for any job, and returns the creation
  /// calls that it makes.
  std::vector<CreateMachines> tick_autoscaler() {
    for (auto& [id, job] : shard.jobs) job.needs_machines = true;
    std::vector<CreateMachines> out;
    for (const CloudCall& call : call_at<CloudCall>(in_seconds(context.now) + 1, [&] { autoscaler.tick(); }))
      if (auto* creation = std::get_if<CreateMachines>(&call.request)) out.push_back(*creation);
    return out;
  }
  /// Runs one scheduling pass.
  void run_scheduling_pass() {
    shard.request_scheduling_pass();
    scheduler.run_pass(shard);
  }
};

// A service used to be started on an empty machine that first had to fetch its image for 20 s, while machines
// with the image in their cache ran tasks of lower priority.
TEST(Preemption, ServicePreemptsLowerPriorityWhereItsImageIsCached) {
  for (const bool cached : {true, false}) {
    ScalingShard test;
    Machine& busy = test.add_machine("busy");
    Job& batch = test.load_job("run-1", "t", Shape::array, Priority::normal, 2);
    test.run_scheduling_pass();
    ASSERT_EQ(batch.placement_count, 2u);
    if (!cached) busy.images.clear();
    Machine& empty = test.add_machine("empty");
    test.load_job("run-2", "t", Shape::service, Priority::production, 1);
    test.run_scheduling_pass();
    const auto unwanted = std::count_if(busy.tasks.begin(), busy.tasks.end(),
                                        [](const auto& task) { return !task.second.wanted; });
    EXPECT_EQ(unwanted, cached ? 1 : 0);
    EXPECT_EQ(empty.tasks.size(), cached ? 0u : 1u);
  }
}

// A hundred on-demand machines used to be created for the jobs of a team without a guarantee or an objective,
// at four times the price of spot machines. The services of other teams then found no machines.
TEST(BestEffort, GetsOnDemandMachineOnlyIfJustified) {
  struct Case {
    const char* what;
    const char* team;
    Priority priority;
    bool has_objective;
    bool justified;  ///< gets an on-demand machine if spot machines are exhausted
  };
  for (const Case& c :
       std::vector<Case>{{"no justification", "guests", Priority::low, false, false},
                         {"class with an objective", "guests", Priority::low, true, true},
                         {"team with a guarantee", "t", Priority::low, false, true},
                         {"not of the lowest priority", "guests", Priority::normal, false, true}}) {
    for (const bool spot_available : {true, false}) {
      ScalingShard test;
      if (c.has_objective)
        test.context.settings.objectives = {{Objective::Kind::finished, c.team, seconds(400), 1}};
      if (!spot_available) test.autoscaler.on_capacity_exhausted({"small", "z", true});
      test.load_job("run-1", c.team, Shape::array, c.priority, 4);
      test.run_scheduling_pass();
      const std::vector<CreateMachines> creations = test.tick_autoscaler();
      ASSERT_EQ(creations.size(), spot_available || c.justified ? 1u : 0u) << c.what;
      for (const CreateMachines& creation : creations) EXPECT_EQ(creation.spot, spot_available) << c.what;
    }
  }
}

TEST(BestEffort, GetsOneOnDemandMachineIfFirstTaskIsOverdue) {
  ScalingShard test;
  test.load_job("run-1", "guests", Shape::array, Priority::low, 40).accepted_at =
      test.context.wall - seconds(121);
  test.autoscaler.on_capacity_exhausted({"small", "z", true});
  test.run_scheduling_pass();
  const std::vector<CreateMachines> creations = test.tick_autoscaler();
  ASSERT_EQ(creations.size(), 1u);
  EXPECT_EQ(creations[0].count, 1);
}

TEST(BestEffort, IsDrainedFromOtherwiseUnneededOnDemandMachine) {
  ScalingShard test;
  Machine& machine = test.add_machine("m");
  Job& guest = test.load_job("run-1", "guests", Shape::array, Priority::low, 1);
  guest.accepted_at = test.context.wall - seconds(500);
  test.run_scheduling_pass();
  ASSERT_EQ(guest.placement_count, 1u);
  machine.last_needed_at = test.context.now;
  test.tick_autoscaler();
  EXPECT_TRUE(machine.tasks.begin()->second.wanted) << "other tasks may still need the machine";
  test.context.now += seconds(30);
  machine.liveness.last_status_at = test.context.now;
  machine.liveness.last_heartbeat_at = test.context.now;
  test.tick_autoscaler();
  EXPECT_FALSE(machine.tasks.begin()->second.wanted);
}

// Machines for best-effort tasks used to be created before those for other tasks, because there were more
// best-effort tasks.
TEST(ScaleOut, CreatesMachinesForBestEffortTasksLast) {
  ScalingShard test;
  test.load_job("run-1", "guests", Shape::array, Priority::low, 10);
  Job& service = test.load_job("run-2", "t", Shape::service, Priority::production, 1);
  service.spec.spot = false;
  test.run_scheduling_pass();
  const std::vector<CreateMachines> creations = test.tick_autoscaler();
  ASSERT_EQ(creations.size(), 1u);
  EXPECT_FALSE(creations[0].spot);
}

// A machine that takes longer than usual to boot is replaced. If no machine of its type that was created at
// the same time or later has come up, the whole type boots slowly, and replacements would create twice the
// capacity needed.
TEST(ScaleOut, ReplacesOverdueMachineUnlessItsTypeBootsSlowly) {
  struct Case {
    const char* what;
    bool other_is_running;  ///< a machine of the same type, created later
    double age_s;           ///< of the booting machine, which usually takes 40 s
    std::size_t creations;
  };
  for (const Case& c : std::vector<Case>{{"not overdue yet", true, 60, 0},
                                         {"overdue, while a newer machine is running", true, 80, 1},
                                         {"overdue, like all machines of its type", false, 80, 0},
                                         {"overdue for so long that it is given up", false, 120, 1}}) {
    ScalingShard test;
    test.add_booting("n-1", seconds(c.age_s));
    if (c.other_is_running)
      test.add_machine("n-2").lifecycle.quarantined = true;  // so that no task is placed on it
    test.load_job("run-1", "t", Shape::array, Priority::normal, 2);
    test.run_scheduling_pass();
    EXPECT_EQ(test.tick_autoscaler().size(), c.creations) << c.what;
  }
}

}  // namespace
}  // namespace bendtide::sim
