#include "user_crowd.h"

#include <nlohmann/json.hpp>

#include "wire/names.h"

namespace bendtide::lab {

using nlohmann::json;
using namespace wire::names;

namespace {

constexpr Micros kSubmitWithin = seconds(5);
constexpr Micros kPollWithin = seconds(2);
constexpr Micros kPollEvery = seconds(2);
constexpr Micros kPollFinalEvery = seconds(5);
constexpr Micros kRetryAfter = seconds(1);
constexpr Micros kGiveUpAfter = seconds(60);
constexpr double kShareInHaste = 0.5;
constexpr double kShareCancelled = 0.5;  ///< of those in haste
constexpr double kHaste = 0.3;           ///< seconds from an acceptance to what follows it
constexpr double kShareOfServices = 0.1;
const std::string kNobodysJob = "run-7";

std::optional<JobPhase> phase_of(const std::string& text) {
  for (const JobPhase phase : {JobPhase::pending, JobPhase::running, JobPhase::done, JobPhase::cancelled})
    if (text == to_text(phase)) return phase;
  return std::nullopt;
}

std::string job_target(const std::string& id) { return std::string(kWork) + "/" + id; }

}  // namespace

void UserCrowd::run() {
  lab_.loop.spawn(arrive());
  lab_.loop.spawn(ask_about_nothing());
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
  spec.each = {2000, 0, 4000};
  if (lab_.chance() < kShareOfServices) {
    spec.shape = Shape::service;
    spec.tasks = 1;
    spec.priority = Priority::high;
    return spec;
  }
  spec.tasks = static_cast<std::uint32_t>(1 + lab_.pick(4));
  spec.estimate = lab_.between(1, 5);
  spec.spot = lab_.chance() < 0.5;
  if (lab_.chance() < 0.2) spec.checkpoint = seconds(1), spec.save = seconds(1);
  if (lab_.chance() < 0.2) spec.zone = lab_.chance() < 0.5 ? "east" : "west";
  return spec;
}

// ---- one user ------------------------------------------------------------------------------------

io::Task<> UserCrowd::live(User& user) {
  const bool accepted = co_await submit(user);
  if (!accepted) co_return;
  if (lab_.chance() < kShareInHaste) lab_.loop.spawn(hurry(user));
  while (!lab_.closing) {
    const int controller = any_controller();
    co_await poll_at(user, controller);
    const Micros pause = user.over ? kPollFinalEvery : kPollEvery;
    co_await lab_.loop.sleep(pause);
  }
}

io::Task<bool> UserCrowd::submit(User& user) {
  const Micros since = lab_.now();
  JobSpec sent = user.spec;
  if (lab_.plan.planted == PlantedFault::misplace) sent.zone.reset();
  while (lab_.now() - since < kGiveUpAfter && !lab_.closing) {
    const Micros asked = lab_.now();
    Question question{user.spec.id, "POST", kWork, wire::body_of(sent), any_controller(), kSubmitWithin};
    const Answer answer = co_await ask(std::move(question));
    if (answer.status == 200 || answer.status == 201) {
      user.accepted = true;
      lab_.checker.accepted(user.spec.id, lab_.now());
      tell_checker(user, answer, asked);
      co_return true;
    }
    co_await lab_.loop.sleep(kRetryAfter);
  }
  co_return false;
}

/// Asks everywhere, submits once more, and perhaps cancels, all within a fraction of a second.
io::Task<> UserCrowd::hurry(User& user) {
  look_closely(user);
  lab_.loop.spawn(submit_again(user));
  const Micros delay = lab_.between(0, kHaste);
  // A fault that shows in cancelled jobs only needs some that would run on for long.
  const bool cancels = lab_.plan.planted == PlantedFault::keep_cancelled || lab_.chance() < kShareCancelled;
  if (cancels) co_await cancel(user, delay);
}

io::Task<> UserCrowd::submit_again(User& user) {
  co_await lab_.loop.sleep(lab_.between(0, kHaste));
  const Micros asked = lab_.now();
  Question question{user.spec.id, "POST", kWork, wire::body_of(user.spec), any_controller(), kSubmitWithin};
  const Answer answer = co_await ask(std::move(question));
  tell_checker(user, answer, asked);
}

io::Task<> UserCrowd::cancel(User& user, Micros delay) {
  if (std::exchange(user.cancelling, true)) co_return;
  co_await lab_.loop.sleep(delay);
  lab_.checker.cancel_requested(user.spec.id);
  while (!lab_.closing) {
    const Micros asked = lab_.now();
    Question question{user.spec.id, "POST",           job_target(user.spec.id) + kCancel,
                      "{}",         any_controller(), kSubmitWithin};
    const Answer answer = co_await ask(std::move(question));
    tell_checker(user, answer, asked);
    if (answer.status == 200 && is_final(answer.phase)) {
      look_closely(user);
      co_return;
    }
    co_await lab_.loop.sleep(kRetryAfter);
  }
}

void UserCrowd::cancel_some(int count) {
  for (const auto& user : users_) {
    if (count <= 0) return;
    if (!user->accepted || user->over || user->cancelling || !lab_.checker.is_running(user->spec.id))
      continue;
    --count;
    lab_.loop.spawn(cancel(*user, lab_.between(0, 0.2)));
  }
}

void UserCrowd::look_closely(User& user) {
  for (int i = 0; i < kControllers; ++i) lab_.loop.spawn(poll_at(user, i));
}

io::Task<> UserCrowd::poll_at(User& user, int controller) {
  const Micros asked = lab_.now();
  Question question{user.spec.id, "GET", job_target(user.spec.id), "", controller, kPollWithin};
  Answer answer = co_await ask(std::move(question));
  plant(user, answer);
  if (answer.status == 0 || answer.status == 503) {
    lab_.checker.unanswered(user.spec.id, lab_.now());
    co_return;
  }
  tell_checker(user, answer, asked);
}

void UserCrowd::tell_checker(User& user, const Answer& answer, Micros asked) {
  if (answer.status == 0 || answer.status == 503) return;
  lab_.checker.answered(user.spec.id, answer.status, answer.phase, asked, lab_.now());
  if (answer.status != 200) return;
  user.last = answer.phase;
  user.over |= is_final(answer.phase);
}

io::Task<> UserCrowd::ask_about_nothing() {
  while (!lab_.closing) {
    co_await lab_.loop.sleep(seconds(5));
    const Micros asked = lab_.now();
    Question question{kNobodysJob, "GET", job_target(kNobodysJob), "", any_controller(), kPollWithin};
    Answer answer = co_await ask(std::move(question));
    if (lab_.plan.planted == PlantedFault::invent_jobs && answer.status == 404) answer.status = 200;
    lab_.checker.answered(kNobodysJob, answer.status, answer.phase, asked, lab_.now());
  }
}

// ---- questions and answers -----------------------------------------------------------------------

io::Task<UserCrowd::Answer> UserCrowd::ask(Question question) {
  const Micros asked = lab_.now();
  HttpCall call{lab_.address(Laboratory::user_port(question.controller)), question.method, question.target,
                std::move(question.body), question.within};
  const io::HttpClient::Result result = co_await perform(lab_.loop, std::move(call));
  const Answer answer = read(question.job, result);
  ++(answer.status == 0 || answer.status == 503 ? refusals_ : answers_);
  lab_.history.add(question.job + ": " + question.method + " " + question.target + " at " +
                   Laboratory::host(question.controller) + " -> " + std::to_string(answer.status) + " " +
                   to_text(answer.phase) + " after " + std::to_string((lab_.now() - asked).count() / 1000) +
                   " ms");
  co_return answer;
}

UserCrowd::Answer UserCrowd::read(const std::string& id, const io::HttpClient::Result& result) const {
  Answer answer{result.status, JobPhase::pending};
  if (result.status != 200 && result.status != 201) return answer;
  const json body = json::parse(result.body, nullptr, false);
  const std::optional<JobPhase> phase =
      body.is_object() ? phase_of(body.value(kPhase, std::string())) : std::nullopt;
  // An answer that can't be read, or about another job, is none.
  if (!phase || body.value(kUid, std::string()) != id) return {};
  answer.phase = *phase;
  return answer;
}

void UserCrowd::plant(const User& user, Answer& answer) const {
  if (answer.status != 200) return;
  const PlantedFault planted = lab_.plan.planted;
  if (planted == PlantedFault::deny_jobs) answer.status = 404;
  if (planted == PlantedFault::call_done_early && answer.phase == JobPhase::running)
    answer.phase = JobPhase::done;
  if (planted == PlantedFault::take_back && answer.phase == JobPhase::done && user.last == JobPhase::done)
    answer.phase = JobPhase::running;
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
    else if ((user->spec.shape == Shape::array || user->cancelling) && !user->over)
      out.push_back(id + " is not over");
  }
  return out;
}

}  // namespace bendtide::lab
