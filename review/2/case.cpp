// The state service refuses a leader alone for some seconds, and two transactions of the hand-over get no
// answer and are carried out late. Then a user cancels a job through the next leader and asks the former one.
#include "stand.h"

using namespace review;

namespace {

constexpr double kRefusedFor = 3.5;
constexpr double kLatest = 12;  ///< the longest delay of a late write

bool writes_lease_of_helm_0(const std::string& body) {
  return body.find("\"put\":\"hold/helm-0\"") != std::string::npos;
}
bool lists_leases(const std::string& target) {
  return target.starts_with("/keys?") && target.find("under=hold") != std::string::npos;
}

Task<int> scenario(Stand& stand) {
  for (int i = 0; i < kControllers; ++i) stand.start_controller(i);
  stand.add_machine("khao-medium", "bkk-a");  // of helm-1
  stand.add_machine("khao-medium", "bkk-a");  // of helm-2
  if (!co_await stand.wait_healthy(12)) co_return kNotRun;
  co_await stand.sleep(4);
  // The machines are full, and the cloud has no more: the job of helm-0 waits.
  for (const int i : {1, 2}) {
    const std::string uid = "run-00010" + std::to_string(i);
    stand.job(uid).body = Stand::job_body(uid, "daemon", "search-team", 1, 16);
    if (!co_await stand.submit(uid, i)) co_return kNotRun;
  }
  const std::string waiting = "run-000200";
  stand.job(waiting).body = Stand::job_body(waiting, "daemon", "search-team", 1, 4);
  if (!co_await stand.submit(waiting, 0)) co_return kNotRun;
  co_await stand.sleep(3);

  if (!stand.trouble()) {
    if (!co_await stand.cancel(waiting, 1, 5)) co_return kNotRun;
    for (int i = 0; i < 60; ++i) {
      const Answer answer = co_await stand.poll(waiting, i % kControllers);
      if (answer.status == 200 && answer.phase() != "cancelled") co_return kBroken;
      co_await stand.sleep(0.05);
    }
    co_return kHeld;
  }

  // Late writes: the acquisition of helm-0's shard by another controller, and then by helm-0 itself.
  int next_leader = -1;
  bool acquired = false;
  bool loaded = false;
  Micros listed_at{0};
  Micros reacquired_at{0};
  const Micros refused_until = stand.now() + seconds(kRefusedFor);
  stand.late_write = [&](int controller, const std::string& body) {
    if (!writes_lease_of_helm_0(body) || stand.late_writes.size() >= 2) return false;
    if (stand.late_writes.empty()) {
      if (controller == 0) return false;
      next_leader = controller;
    }
    if (stand.late_writes.size() == 1) {
      if (controller != 0) return false;
      reacquired_at = stand.now();
    }
    return true;
  };
  stand.state_fault = [&](int controller, const std::string& target, const std::string&) {
    if (controller == 0 && stand.now() < refused_until) return 503;
    if (!lists_leases(target)) return 0;
    if (controller == 0) listed_at = stand.now();
    // The first late write is carried out some time after helm-0 has read its answerless one as not executed.
    const bool due = reacquired_at != Micros{0} && stand.now() - reacquired_at > seconds(1.6) &&
                     stand.now() - listed_at < seconds(0.55);
    if (controller == next_leader && due) stand.carry_out(0);
    return 0;
  };
  stand.state_done = [&](int controller, const std::string& target, const std::string& body, int status) {
    if (controller != next_leader || status != 200) return;
    if (target == "/multi" && writes_lease_of_helm_0(body)) acquired = true;
    if (acquired && target == "/keys/room/helm-0") loaded = true;  // the last record that a new leader reads
  };
  stand.record("the state service refuses helm-0 alone for 3.5 s");
  const auto read_as_not_written = [&] {
    return reacquired_at != Micros{0} && stand.now() - reacquired_at > seconds(1.6);
  };
  if (!co_await stand.wait_for(read_as_not_written, 20)) co_return kNotRun;
  // A user repeats the submission of a job of a third controller. The conflict makes the next leader read the
  // lease records, which it does once a second anyway.
  if (!co_await stand.wait_for([&] { return stand.now() - listed_at < seconds(0.1); }, 3)) co_return kNotRun;
  const std::string repeated = next_leader == 1 ? "run-000102" : "run-000101";
  if (!co_await stand.submit(repeated, next_leader)) co_return kNotRun;
  if (!co_await stand.wait_for([&] { return loaded; }, 2)) co_return kNotRun;
  const double late_s = bendtide::in_seconds(stand.now() - stand.late_writes[0].sent_at);
  stand.record(Stand::host(next_leader) + " leads the shard of helm-0");
  if (late_s > kLatest) co_return kNotRun;

  // A user cancels through the next leader, and asks helm-0 after it was told.
  co_await stand.cancel_once(waiting, next_leader);
  if (!stand.job(waiting).cancelled) co_return kNotRun;
  int older = 0;
  for (int i = 0; i < 100; ++i) {
    const Answer answer = co_await stand.poll(waiting, 0);
    if (answer.status == 200 && answer.phase() != "cancelled") ++older;
    co_await stand.sleep(0.02);
  }
  stand.carry_out(1);
  stand.record(std::to_string(older) +
               " polls that were sent after the answer 'cancelled' got an older answer");
  if (older > 0) stand.record("BROKEN: went_back");
  co_return older > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  Site site;
  site.teams = {{"platform-ops", 56, 136}, {"search-team", 80, 136}, {"curation", 40, 136}};
  Hull medium{"khao-medium"};
  medium.capacity = 2;
  Stand stand(argc, argv, site, {medium});
  return stand.run([&] { return scenario(stand); });
}
