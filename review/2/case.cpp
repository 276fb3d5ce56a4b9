// The state service lowers its limits while a job has awards from before. All tasks of the job complete.
#include "stand.h"

using namespace review;

namespace {

constexpr double kPolledFor = 60;  ///< how long the user of the completed job polls

Task<int> scenario(Stand& stand) {
  for (int i = 0; i < kControllers; ++i) {
    stand.add_machine("khao-medium", "bkk-a");
    stand.start_controller(i);
  }
  if (!co_await stand.wait_healthy(15)) co_return kNotRun;
  co_await stand.sleep(5);
  // The machines are full: services of one task each. The cloud has no further machine.
  const auto service = [&](const std::string& uid, double cpus) {
    stand.job(uid).body = Stand::job_body(uid, "daemon", "search-team", 1, cpus);
  };
  service("run-000100", 16);
  service("run-000101", 8);
  service("run-000102", 8);
  const std::vector<std::pair<std::string, int>> small = {
      {"run-000111", 1}, {"run-000112", 2}, {"run-000113", 1}, {"run-000114", 2}};
  for (const auto& [uid, controller] : small) service(uid, 4);
  for (int i = 0; i < kControllers; ++i)
    if (!co_await stand.submit("run-00010" + std::to_string(i), i)) co_return kNotRun;
  for (const auto& [uid, controller] : small)
    if (!co_await stand.submit(uid, controller)) co_return kNotRun;
  const auto all_run = [&] {
    for (const auto& [uid, job] : stand.jobs())
      if (stand.running(uid) != 1) return false;
    return true;
  };
  if (!co_await stand.wait_for(all_run, 15)) co_return kNotRun;

  // An array of four tasks. Its controller has no room. Each time a service elsewhere is cancelled, one task
  // is awarded to the controller that got room.
  const std::string array = "run-000200";
  stand.job(array).body = Stand::job_body(array, "sweep", "platform-ops", 4, 4);
  if (!co_await stand.submit(array, 0)) co_return kNotRun;
  std::size_t expected = 0;
  for (const auto& [uid, controller] : small) {
    if (!co_await stand.cancel(uid, controller, 10)) co_return kNotRun;
    ++expected;
    const auto next_runs = [&] { return stand.running(array) == expected; };
    if (!co_await stand.wait_for(next_runs, 10)) co_return kNotRun;
  }

  if (stand.trouble()) stand.set_state_limits(2, 4, 42);
  co_await stand.sleep(2);
  for (int task = 0; task < 4; ++task) stand.finish_task(array + "/" + std::to_string(task));
  if (stand.completed(array) != 4) co_return kNotRun;
  const Micros completed_at = stand.now();
  stand.record("all tasks of " + array + " are complete; from 3 s later on its user expects done");

  // For comparison: a job that is submitted now.
  const std::string later = "run-000300";
  stand.job(later).body = Stand::job_body(later, "sweep", "platform-ops", 2, 4);
  stand.job(later).run_s = 2;
  const bool accepted = co_await stand.submit(later, 1);

  co_await stand.sleep(3);
  for (int i = 0; stand.now() - completed_at < seconds(kPolledFor); ++i) {
    co_await stand.poll(array, i % kControllers);
    if (accepted && !stand.job(later).done) co_await stand.poll(later, i % kControllers);
    if (stand.job(array).done) break;
    co_await stand.sleep(2);
  }
  if (stand.job(array).done) co_return kHeld;
  // The user gives up and asks to cancel. This gets no answer either.
  if (co_await stand.cancel(array, 0, 8)) co_return kHeld;
  stand.record("BROKEN: " + array + " is not called done though its last task completed " +
               std::to_string(bendtide::in_seconds(stand.now() - completed_at)) + " s ago");
  co_return kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  Site site;
  site.teams = {{"platform-ops", 56, 136}, {"search-team", 80, 136}, {"curation", 40, 136}};
  site.more_settings = "[settings.state.next]\nrps = 200.0\nwrite_rps = 42.0\nvalue_kb = 2.0\ntxn_ops = 4\n";
  Hull medium{"khao-medium"};
  medium.capacity = kControllers;
  Stand stand(argc, argv, site, {medium});
  return stand.run([&] { return scenario(stand); });
}
