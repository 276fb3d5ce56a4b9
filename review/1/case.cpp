// The answer to one transaction is lost: the one by which a leader raises its fencing token. Several jobs
// complete in that second.
#include "stand.h"

using namespace review;

namespace {

constexpr int kJobs = 8;
constexpr double kPolledFor = 60;

std::string job_name(int i) { return "run-00020" + std::to_string(i); }

Task<int> scenario(Stand& stand) {
  for (int i = 0; i < kControllers; ++i) {
    stand.add_machine("khao-medium", "bkk-a");
    stand.start_controller(i);
  }
  if (!co_await stand.wait_healthy(12)) co_return kNotRun;
  co_await stand.sleep(4);
  const auto submit = [&](std::string uid) -> Task<bool> {
    stand.job(uid).body = Stand::job_body(uid, "sweep", "platform-ops", 1, 1);
    co_return co_await stand.submit(uid, 0);
  };
  const std::string first = "run-000100";
  if (!co_await submit(first)) co_return kNotRun;
  for (int i = 0; i < kJobs; ++i)
    if (!co_await submit(job_name(i))) co_return kNotRun;
  const auto all_run = [&] {
    for (const auto& [uid, job] : stand.jobs())
      if (stand.running(uid) != 1) return false;
    return true;
  };
  if (!co_await stand.wait_for(all_run, 10)) co_return kNotRun;
  co_await stand.sleep(3);

  // Once a task that was started by a direct command has ended, the leader raises its token.
  bool raised = false;
  const auto raises_token = [](int controller, const std::string& target, const std::string& body) {
    return controller == 0 && target == "/multi" && body.find("\"put\":\"hold/helm-0\"") != std::string::npos;
  };
  stand.lost_answer = [&](int controller, const std::string& body) {
    if (!raises_token(controller, "/multi", body) || raised) return false;
    raised = true;
    return stand.trouble();
  };
  stand.finish_task(first + "/0");
  if (!co_await stand.wait_for([&] { return raised; }, 12)) co_return kNotRun;
  for (int i = 0; i < kJobs; ++i) stand.finish_task(job_name(i) + "/0");
  const Micros completed_at = stand.now();
  stand.record("the tasks of " + std::to_string(kJobs) +
               " jobs are complete; from 3 s later on their users expect done");

  co_await stand.sleep(3);
  int done = 0;
  while (stand.now() - completed_at < seconds(kPolledFor)) {
    done = 0;
    for (int i = 0; i < kJobs; ++i) {
      const std::string uid = job_name(i);
      if (!stand.job(uid).done) co_await stand.poll(uid, i % kControllers);
      done += stand.job(uid).done ? 1 : 0;
    }
    if (done == kJobs) co_return kHeld;
    co_await stand.sleep(4);
  }
  // Neither is a request to cancel answered, nor a new job accepted by this controller.
  const bool cancelled = co_await stand.cancel(job_name(0), 0, 8);
  const std::string later = "run-000300";
  stand.job(later).body = Stand::job_body(later, "sweep", "platform-ops", 1, 1);
  const Answer submitted = co_await stand.call(0, "POST", "/work", stand.job(later).body.dump(), 5);
  stand.record("BROKEN: " + std::to_string(kJobs - done) + " of " + std::to_string(kJobs) +
               " jobs are not called done, " +
               std::to_string(bendtide::in_seconds(stand.now() - completed_at)) +
               " s after their last task completed; a request to cancel one was " +
               (cancelled ? "" : "not ") + "answered; a new job got " + std::to_string(submitted.status));
  co_return kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  Site site;
  site.teams = {{"platform-ops", 56, 136}, {"search-team", 80, 136}, {"curation", 40, 136}};
  Hull medium{"khao-medium"};
  medium.capacity = kControllers;
  Stand stand(argc, argv, site, {medium});
  return stand.run([&] { return scenario(stand); });
}
