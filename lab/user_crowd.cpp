#include "user_crowd.h"

#include <nlohmann/json.hpp>

#include "wire/names.h"
#include "wire/user_protocol.h"

namespace bendtide::lab {

using nlohmann::json;
using namespace wire::names;

namespace {

constexpr Micros kSubmitWithin = seconds(5);
constexpr Micros kPollWithin = seconds(2);
constexpr Micros kPollEvery = seconds(2);
constexpr Micros kPollFinalEvery = seconds(5);
constexpr Micros kRetryAfter = seconds(1);
constexpr Micros kCheckRunningEvery = millis(20);
constexpr Micros kGiveUpAfter = seconds(60);
constexpr double kShareImpatient = 0.5;
constexpr double kShareCancelled = 0.5;    ///< of the jobs of impatient users
constexpr double kActWithinSeconds = 0.3;  ///< after the acceptance
constexpr double kShareOfServices = 0.1;
const std::string kUnknownJob = "run-7";

std::optional<JobPhase> phase_of(const std::string& text) {
  for (const JobPhase phase : {JobPhase::pending, JobPhase::running, JobPhase::done, JobPhase::cancelled})
    if (text == to_text(phase)) return phase;
  return std::nullopt;
}

std::string job_target(const std::string& id) { return std::string(kJobsPath) + "/" + id; }

}  // namespace

void UserCrowd::run() {
  lab_.loop.spawn(arrive());
  lab_.loop.spawn(poll_unknown_job());
}

io::Task<> UserCrowd::arrive() {
  co_await lab_.loop.sleep(seconds(3));
  while (lab_.now() < lab_.plan.faults_for) {
    users_.push_back(std::make_unique<User>());
    User& user = *users_.back();
    user.spec = draw_spec();
    lab_.specs[user.spec.id] = user.spec;
    lab_.checker.submitted(user.spec);
    lab_.loop.spawn(live(user));
    co_await lab_.loop.sleep(lab_.between(0, 2 / lab_.plan.jobs_per_second));
  }
}

JobSpec UserCrowd::draw_spec() {
  JobSpec spec;
  spec.id = "run-" + std::to_string(100'000 + users_.size());
  spec.team = lab_.chance() < 0.5 ? "blue" : "green";
  spec.job_class = "class";
  spec.image = "image-" + std::to_string(lab_.pick(3));
  spec.image_gb = 1;
  spec.task_resources = {2000, 0, 4000};
  if (lab_.chance() < kShareOfServices) {
    spec.shape = Shape::service;
    spec.tasks = 1;
    spec.priority = Priority::high;
    return spec;
  }
  spec.tasks = static_cast<std::uint32_t>(1 + lab_.pick(4));
  spec.estimated_task_duration = lab_.between(1, 5);
  spec.spot = lab_.chance() < 0.5;
  if (lab_.chance() < 0.2) {
    spec.checkpoint_interval = seconds(1);
    spec.save_duration = seconds(1);
  }
  if (lab_.chance() < 0.2) spec.zone = lab_.chance() < 0.5 ? "east" : "west";
  return spec;
}

// ---- one user ------------------------------------------------------------------------------------

io::Task<> UserCrowd::live(User& user) {
  const bool accepted = co_await submit(user);
  if (!accepted) co_return;
  if (lab_.chance() < kShareImpatient) lab_.loop.spawn(act_at_acceptance(user));
  if (cancels_once_running()) lab_.loop.spawn(cancel_once_running(user));
  while (!lab_.closing) {
    const int controller = lab_.any_controller();
    co_await poll_at(user, controller);
    const Micros pause = user.answered_final ? kPollFinalEvery : kPollEvery;
    co_await lab_.loop.sleep(pause);
  }
}

io::Task<bool> UserCrowd::submit(User& user) {
  const Micros since = lab_.now();
  JobSpec sent = user.spec;
  if (lab_.plan.planted_defect == PlantedDefect::misplace) sent.zone.reset();
  while (lab_.now() - since < kGiveUpAfter && !lab_.closing) {
    const Micros asked_at = lab_.now();
    Request request{user.spec.id,          "POST",       kJobsPath, wire::body_of(sent),
                    lab_.any_controller(), kSubmitWithin};
    const Answer answer = co_await send(std::move(request));
    if (answer.status == 200 || answer.status == 201) {
      user.accepted = true;
      lab_.checker.accepted(user.spec.id, lab_.now());
      record_answer(user, answer, asked_at);
      co_return true;
    }
    co_await lab_.loop.sleep(kRetryAfter);
  }
  co_return false;
}

/// Polls all controllers, submits once more, and perhaps cancels, all within a fraction of a second.
io::Task<> UserCrowd::act_at_acceptance(User& user) {
  poll_everywhere(user);
  lab_.loop.spawn(submit_again(user));
  const Micros delay = lab_.between(0, kActWithinSeconds);
  if (!cancels_once_running() && lab_.chance() < kShareCancelled) co_await cancel(user, delay);
}

/// The loss of stop commands shows only in jobs that are cancelled while they run.
bool UserCrowd::cancels_once_running() const {
  return lab_.plan.planted_defect == PlantedDefect::keep_cancelled;
}

io::Task<> UserCrowd::cancel_once_running(User& user) {
  while (!lab_.closing && !lab_.checker.is_running(user.spec.id)) {
    if (user.answered_final) co_return;
    co_await lab_.loop.sleep(kCheckRunningEvery);
  }
  const Micros delay = lab_.between(0, kActWithinSeconds);
  co_await cancel(user, delay);
}

io::Task<> UserCrowd::submit_again(User& user) {
  co_await lab_.loop.sleep(lab_.between(0, kActWithinSeconds));
  const Micros asked_at = lab_.now();
  Request request{user.spec.id,          "POST",       kJobsPath, wire::body_of(user.spec),
                  lab_.any_controller(), kSubmitWithin};
  const Answer answer = co_await send(std::move(request));
  record_answer(user, answer, asked_at);
}

io::Task<> UserCrowd::cancel(User& user, Micros delay) {
  if (std::exchange(user.cancelling, true)) co_return;
  co_await lab_.loop.sleep(delay);
  lab_.checker.cancel_requested(user.spec.id);
  while (!lab_.closing) {
    const Micros asked_at = lab_.now();
    Request request{user.spec.id,          "POST",       job_target(user.spec.id) + kCancelSuffix, "{}",
                    lab_.any_controller(), kSubmitWithin};
    const Answer answer = co_await send(std::move(request));
    record_answer(user, answer, asked_at);
    if (answer.status == 200 && is_final(answer.phase)) {
      poll_everywhere(user);
      co_return;
    }
    co_await lab_.loop.sleep(kRetryAfter);
  }
}

void UserCrowd::cancel_some(int count) {
  for (const auto& user : users_) {
    if (count <= 0) return;
    if (!user->accepted || user->answered_final || user->cancelling ||
        !lab_.checker.is_running(user->spec.id))
      continue;
    --count;
    lab_.loop.spawn(cancel(*user, lab_.between(0, 0.2)));
  }
}

void UserCrowd::poll_everywhere(User& user) {
  for (int i = 0; i < kControllers; ++i) lab_.loop.spawn(poll_at(user, i));
}

io::Task<> UserCrowd::poll_at(User& user, int controller) {
  const Micros asked_at = lab_.now();
  Request request{user.spec.id, "GET", job_target(user.spec.id), "", controller, kPollWithin};
  const Answer received = co_await send(std::move(request));
  const Answer answer = with_planted_defect(user, received);
  if (is_refusal(answer)) {
    lab_.checker.unanswered(user.spec.id, lab_.now());
    co_return;
  }
  record_answer(user, answer, asked_at);
}

void UserCrowd::record_answer(User& user, const Answer& answer, Micros asked_at) {
  if (is_refusal(answer)) return;
  lab_.checker.answered(user.spec.id, answer.status, answer.phase, asked_at, lab_.now());
  if (answer.status != 200) return;
  user.last_phase = answer.phase;
  user.answered_final |= is_final(answer.phase);
}

io::Task<> UserCrowd::poll_unknown_job() {
  while (!lab_.closing) {
    co_await lab_.loop.sleep(seconds(5));
    const Micros asked_at = lab_.now();
    Request request{kUnknownJob, "GET", job_target(kUnknownJob), "", lab_.any_controller(), kPollWithin};
    Answer answer = co_await send(std::move(request));
    if (lab_.plan.planted_defect == PlantedDefect::invent_jobs && answer.status == 404) answer.status = 200;
    lab_.checker.answered(kUnknownJob, answer.status, answer.phase, asked_at, lab_.now());
  }
}

// ---- requests and answers -----------------------------------------------------------------------

io::Task<UserCrowd::Answer> UserCrowd::send(Request request) {
  const Micros asked_at = lab_.now();
  HttpCall call{lab_.address(Laboratory::user_port(request.controller)), request.method, request.target,
                std::move(request.body), request.within};
  const io::HttpClient::Result result = co_await perform(lab_.loop, std::move(call));
  const Answer answer = read(request.job, result);
  if (is_refusal(answer))
    ++refusals_;
  else
    ++answers_;
  lab_.history.add(request.job + ": " + request.method + " " + request.target + " at " +
                   Laboratory::host(request.controller) + " -> " + std::to_string(answer.status) + " " +
                   to_text(answer.phase) + " after " +
                   std::to_string((lab_.now() - asked_at).count() / 1000) + " ms");
  co_return answer;
}

UserCrowd::Answer UserCrowd::read(const std::string& id, const io::HttpClient::Result& result) const {
  Answer answer{result.status, JobPhase::pending};
  if (result.status != 200 && result.status != 201) return answer;
  const json body = json::parse(result.body, nullptr, false);
  const std::optional<JobPhase> phase =
      body.is_object() ? phase_of(body.value(kPhase, std::string())) : std::nullopt;
  // An answer that can't be read, or that is about another job, counts as none.
  if (!phase || body.value(kUid, std::string()) != id) return {};
  answer.phase = *phase;
  return answer;
}

UserCrowd::Answer UserCrowd::with_planted_defect(const User& user, Answer answer) const {
  if (answer.status != 200) return answer;
  const PlantedDefect planted = lab_.plan.planted_defect;
  if (planted == PlantedDefect::deny_jobs) answer.status = 404;
  if (planted == PlantedDefect::call_done_early && answer.phase == JobPhase::running)
    answer.phase = JobPhase::done;
  if (planted == PlantedDefect::take_back && answer.phase == JobPhase::done &&
      user.last_phase == JobPhase::done)
    answer.phase = JobPhase::running;
  return answer;
}

// ---- the end -------------------------------------------------------------------------------------

std::size_t UserCrowd::accepted() const {
  return static_cast<std::size_t>(
      std::count_if(users_.begin(), users_.end(), [](const auto& user) { return user->accepted; }));
}

std::vector<std::string> UserCrowd::unfinished() const {
  std::vector<std::string> out;
  for (const auto& user : users_) {
    const std::string& id = user->spec.id;
    if (!user->accepted)
      out.push_back(id + " was not accepted");
    else if (user->spec.shape == Shape::service && !user->cancelling && !lab_.checker.is_running(id))
      out.push_back(id + " does not run");
    else if ((user->spec.shape == Shape::array || user->cancelling) && !user->answered_final)
      out.push_back(id + " is not over");
  }
  return out;
}

}  // namespace bendtide::lab
