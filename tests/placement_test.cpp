// Where tasks are placed, and what is rented for those that find no room.

#include <gtest/gtest.h>

#include "core/provisioning/autoscaler.h"
#include "sim/held_shard.h"

namespace bendtide::sim {
namespace {

/// A shard with machines that are up, a catalogue and a cloud that is asked by hand.
struct RentingPart : HeldShard {
  Scheduler scheduler{state, fleet};
  Autoscaler renter{state, fleet};

  RentingPart() {
    state.catalogue = {{"small", {8000, 0, 64000}, 50, 0.1, 0.5, 0.12, seconds(40), {"z"}}};
    context.settings.teams = {{"t", {8000, 0}, {80'000, 0}}, {"guests", {}, {80'000, 0}}};
    shard.quota.load({{"t", {80'000, 0}}, {"guests", {80'000, 0}}}, 1);
    shard.machines.clear();
  }
  /// Up, reconciled and heard a moment ago.
  Machine& add_machine(const std::string& name, bool spot = false) {
    Machine& m = fleet.add(shard, machine_from({name, "small", "z", spot, name + ":1", context.wall}), true);
    m.size = {8000, 0, 64000};
    m.status_received = true;
    return m;
  }
  Machine& add_booting(const std::string& name, Micros rented_ago) {
    Machine& m =
        fleet.add(shard, machine_from({name, "small", "z", false, "", context.wall - rented_ago}), false);
    m.size = {8000, 0, 64000};
    return m;
  }
  Job& add(const std::string& id, const std::string& team, Shape shape, Priority priority,
           std::uint32_t tasks) {
    records::LiveJob record;
    record.shard = "a";
    record.accepted = context.wall;
    record.spec.id = id;
    record.spec.team = team;
    record.spec.job_class = team;
    record.spec.shape = shape;
    record.spec.priority = priority;
    record.spec.tasks = tasks;
    record.spec.each = {4000, 0, 1000};
    record.spec.image = "image";
    record.spec.image_gb = 2;
    record.spec.estimate = seconds(60);
    record.spec.spot = true;
    return Jobs::load(shard, record);
  }
  /// What is rented for tasks that no peer has room for.
  std::vector<CreateMachines> rented() {
    for (auto& [id, job] : shard.jobs) job.refused = true;
    std::vector<CreateMachines> out;
    for (const CloudCall& call : at<CloudCall>(in_seconds(context.now) + 1, [&] { renter.tick(); }))
      if (auto* rent = std::get_if<CreateMachines>(&call.request)) out.push_back(*rent);
    return out;
  }
  void pass() {
    shard.changed();
    scheduler.pass(shard);
  }
};

// A service once began on a machine that first had to fetch its image for 20 s, beside others that had it and
// ran work of lower priority.
TEST(Placement, LesserTasksGiveWayWhereTheImageOfAServiceIsCached) {
  for (const bool cached : {true, false}) {
    RentingPart t;
    Machine& busy = t.add_machine("busy");
    Job& batch = t.add("run-1", "t", Shape::array, Priority::normal, 2);
    t.pass();
    ASSERT_EQ(batch.present, 2u);
    if (!cached) busy.images.clear();
    Machine& empty = t.add_machine("empty");
    t.add("run-2", "t", Shape::service, Priority::production, 1);
    t.pass();
    const auto unwanted = std::count_if(busy.tasks.begin(), busy.tasks.end(),
                                        [](const auto& task) { return !task.second.wanted; });
    EXPECT_EQ(unwanted, cached ? 1 : 0);
    EXPECT_EQ(empty.tasks.size(), cached ? 0u : 1u);
  }
}

// Guests without a guarantee or an aim once had a hundred ordinary machines rented for them, at four times
// the price, and the services of others then found none.
TEST(Opportunistic, WorkRentsNoOrdinaryMachine) {
  struct Case {
    const char* what;
    const char* team;
    Priority priority;
    bool has_objective;
    bool spot;  ///< what is rented, if spot machines are short
    bool any;
  };
  for (const Case& c : std::vector<Case>{
           {"nothing justifies it", "guests", Priority::low, false, true, false},
           {"its class has an objective", "guests", Priority::low, true, false, true},
           {"its team has a guarantee", "t", Priority::low, false, false, true},
           {"it is not of the lowest priority", "guests", Priority::normal, false, false, true}}) {
    for (const bool spot_to_be_had : {true, false}) {
      RentingPart t;
      if (c.has_objective) t.context.settings.objectives = {{"finished", c.team, seconds(400), 1}};
      if (!spot_to_be_had) t.renter.on_capacity_exhausted({"small", "z", true});
      t.add("run-1", c.team, Shape::array, c.priority, 4);
      t.pass();
      const std::vector<CreateMachines> rented = t.rented();
      ASSERT_EQ(rented.size(), spot_to_be_had || c.any ? 1u : 0u) << c.what;
      for (const CreateMachines& rent : rented) EXPECT_EQ(rent.spot, spot_to_be_had) << c.what;
    }
  }
}

// It has to begin all the same.
TEST(Opportunistic, WorkThatHasNotBegunGetsAMachineForItsFirstTaskInTheEnd) {
  RentingPart t;
  t.add("run-1", "guests", Shape::array, Priority::low, 40).accepted = t.context.wall - seconds(121);
  t.renter.on_capacity_exhausted({"small", "z", true});
  t.pass();
  const std::vector<CreateMachines> rented = t.rented();
  ASSERT_EQ(rented.size(), 1u);
  EXPECT_EQ(rented[0].count, 1);
}

TEST(Opportunistic, WorkAloneDoesNotKeepAnOrdinaryMachine) {
  RentingPart t;
  Machine& m = t.add_machine("m");
  Job& guest = t.add("run-1", "guests", Shape::array, Priority::low, 1);
  guest.accepted = t.context.wall - seconds(500);
  t.pass();
  ASSERT_EQ(guest.present, 1u);
  m.needed_at = t.context.now;
  t.rented();
  EXPECT_TRUE(m.tasks.begin()->second.wanted) << "something may come yet";
  t.context.now += seconds(30);
  m.last_status_at = m.last_heartbeat_at = t.context.now;
  t.rented();
  EXPECT_FALSE(m.tasks.begin()->second.wanted);
}

// What guests without an aim needed was once ordered before what others did, as it was more.
TEST(Renting, OpportunisticWorkIsOrderedForLast) {
  RentingPart t;
  t.add("run-1", "guests", Shape::array, Priority::low, 10);
  Job& service = t.add("run-2", "t", Shape::service, Priority::production, 1);
  service.spec.spot = false;
  t.pass();
  const std::vector<CreateMachines> rented = t.rented();
  ASSERT_EQ(rented.size(), 1u);
  EXPECT_FALSE(rented[0].spot);
}

// A machine that boots for longer than usual is rented anew; but when all that were rented since are slow as
// well, that would bring twice what is needed.
TEST(Renting, ASlowSpellIsToldFromAMachineThatIsStuck) {
  struct Case {
    const char* what;
    bool other_came_up;
    double overdue_by_s;
    std::size_t rented;
  };
  for (const Case& c : std::vector<Case>{{"still in time", true, 60, 0},
                                         {"overtaken by another", true, 80, 1},
                                         {"all are slow", false, 80, 0},
                                         {"given up", false, 120, 1}}) {
    RentingPart t;
    t.add_booting("n-1", seconds(c.overdue_by_s));
    if (c.other_came_up) t.add_machine("n-2").quarantined = true;  // it takes nothing itself
    t.add("run-1", "t", Shape::array, Priority::normal, 2);
    t.pass();
    EXPECT_EQ(t.rented().size(), c.rented) << c.what;
  }
}

}  // namespace
}  // namespace bendtide::sim
