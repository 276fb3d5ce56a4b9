// Where tasks are placed, and which machines are created for those without capacity.

#include <gtest/gtest.h>

#include "core/provisioning/autoscaler.h"
#include "sim/held_shard.h"

namespace bendtide::sim {
namespace {

/// A shard with machines that are up, a catalogue, and an autoscaler whose calls to the cloud get no
/// response.
struct ScalingShard : HeldShard {
  Scheduler scheduler{state, fleet};
  Autoscaler autoscaler{state, fleet};

  ScalingShard() {
    state.catalogue = {{"small", {8000, 0, 64000}, 50, 0.1, 0.5, 0.12, seconds(40), {"z"}}};
    context.settings.teams = {{"t", {8000, 0}, {80'000, 0}}, {"guests", {}, {80'000, 0}}};
    shard.quota.load({{"t", {80'000, 0}}, {"guests", {80'000, 0}}}, 1);
    shard.machines.clear();
  }
  /// Up, reconciled, and with a status received a moment ago.
  Machine& add_machine(const std::string& name, bool spot = false) {
    Machine& m = fleet.add(shard, machine_from({name, "small", "z", spot, name + ":1", context.wall}), true);
    m.size = {8000, 0, 64000};
    m.liveness.status_received = true;
    return m;
  }
  Machine& add_booting(const std::string& name, Micros age) {
    Machine& m = fleet.add(shard, machine_from({name, "small", "z", false, "", context.wall - age}), false);
    m.size = {8000, 0, 64000};
    return m;
  }
  Job& add(const std::string& id, const std::string& team, Shape shape, Priority priority,
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
  /// The creations that one tick of the autoscaler asks for, once no peer has capacity for any job.
  std::vector<CreateMachines> creations() {
    for (auto& [id, job] : shard.jobs) job.needs_machines = true;
    std::vector<CreateMachines> out;
    for (const CloudCall& call : at<CloudCall>(in_seconds(context.now) + 1, [&] { autoscaler.tick(); }))
      if (auto* creation = std::get_if<CreateMachines>(&call.request)) out.push_back(*creation);
    return out;
  }
  void pass() {
    shard.request_scheduling_pass();
    scheduler.run_pass(shard);
  }
};

// A service once started on a machine that first had to fetch its image for 20 s, while others that cached it
// ran work of lower priority.
TEST(Preemption, ServicePreemptsLowerPriorityWhereItsImageIsCached) {
  for (const bool cached : {true, false}) {
    ScalingShard test;
    Machine& busy = test.add_machine("busy");
    Job& batch = test.add("run-1", "t", Shape::array, Priority::normal, 2);
    test.pass();
    ASSERT_EQ(batch.placement_count, 2u);
    if (!cached) busy.images.clear();
    Machine& empty = test.add_machine("empty");
    test.add("run-2", "t", Shape::service, Priority::production, 1);
    test.pass();
    const auto unwanted = std::count_if(busy.tasks.begin(), busy.tasks.end(),
                                        [](const auto& task) { return !task.second.wanted; });
    EXPECT_EQ(unwanted, cached ? 1 : 0);
    EXPECT_EQ(empty.tasks.size(), cached ? 0u : 1u);
  }
}

// A hundred on-demand machines were once created for guests without a guarantee or an objective, at four
// times the price of spot machines, and the services of others then found none.
TEST(BestEffort, GetsNoOnDemandMachineUnlessSomethingJustifiesIt) {
  struct Case {
    const char* what;
    const char* team;
    Priority priority;
    bool has_objective;
    bool justified;  ///< gets an on-demand machine where spot machines are exhausted
  };
  for (const Case& c :
       std::vector<Case>{{"nothing justifies it", "guests", Priority::low, false, false},
                         {"its class has an objective", "guests", Priority::low, true, true},
                         {"its team has a guarantee", "t", Priority::low, false, true},
                         {"it is not of the lowest priority", "guests", Priority::normal, false, true}}) {
    for (const bool spot_available : {true, false}) {
      ScalingShard test;
      if (c.has_objective)
        test.context.settings.objectives = {{Objective::Kind::finished, c.team, seconds(400), 1}};
      if (!spot_available) test.autoscaler.on_capacity_exhausted({"small", "z", true});
      test.add("run-1", c.team, Shape::array, c.priority, 4);
      test.pass();
      const std::vector<CreateMachines> creations = test.creations();
      ASSERT_EQ(creations.size(), spot_available || c.justified ? 1u : 0u) << c.what;
      for (const CreateMachines& creation : creations) EXPECT_EQ(creation.spot, spot_available) << c.what;
    }
  }
}

TEST(BestEffort, GetsAnOnDemandMachineForItsFirstTaskOnceItIsOverdue) {
  ScalingShard test;
  test.add("run-1", "guests", Shape::array, Priority::low, 40).accepted_at = test.context.wall - seconds(121);
  test.autoscaler.on_capacity_exhausted({"small", "z", true});
  test.pass();
  const std::vector<CreateMachines> creations = test.creations();
  ASSERT_EQ(creations.size(), 1u);
  EXPECT_EQ(creations[0].count, 1);
}

TEST(BestEffort, IsDrainedFromAnOnDemandMachineThatNothingElseNeeds) {
  ScalingShard test;
  Machine& machine = test.add_machine("m");
  Job& guest = test.add("run-1", "guests", Shape::array, Priority::low, 1);
  guest.accepted_at = test.context.wall - seconds(500);
  test.pass();
  ASSERT_EQ(guest.placement_count, 1u);
  machine.last_needed_at = test.context.now;
  test.creations();
  EXPECT_TRUE(machine.tasks.begin()->second.wanted) << "other work may still need it";
  test.context.now += seconds(30);
  machine.liveness.last_status_at = test.context.now;
  machine.liveness.last_heartbeat_at = test.context.now;
  test.creations();
  EXPECT_FALSE(machine.tasks.begin()->second.wanted);
}

// Machines for best-effort work were once created before those for other work, as they were more.
TEST(ScaleOut, CreatesMachinesForBestEffortWorkLast) {
  ScalingShard test;
  test.add("run-1", "guests", Shape::array, Priority::low, 10);
  Job& service = test.add("run-2", "t", Shape::service, Priority::production, 1);
  service.spec.spot = false;
  test.pass();
  const std::vector<CreateMachines> creations = test.creations();
  ASSERT_EQ(creations.size(), 1u);
  EXPECT_FALSE(creations[0].spot);
}

// A machine that boots for longer than usual is replaced; but when all that were created since are slow as
// well, that would bring twice what is needed.
TEST(ScaleOut, ReplacesAnOverdueMachineUnlessAllOfItsTypeAreSlow) {
  struct Case {
    const char* what;
    bool other_came_up;
    double overdue_by_s;
    std::size_t creations;
  };
  for (const Case& c : std::vector<Case>{{"still in time", true, 60, 0},
                                         {"overtaken by another", true, 80, 1},
                                         {"all are slow", false, 80, 0},
                                         {"given up", false, 120, 1}}) {
    ScalingShard test;
    test.add_booting("n-1", seconds(c.overdue_by_s));
    if (c.other_came_up) test.add_machine("n-2").lifecycle.quarantined = true;  // it takes nothing itself
    test.add("run-1", "t", Shape::array, Priority::normal, 2);
    test.pass();
    EXPECT_EQ(test.creations().size(), c.creations) << c.what;
  }
}

}  // namespace
}  // namespace bendtide::sim
