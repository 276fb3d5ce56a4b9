#include "user_crowd.h"

#include <nlohmann/json.hpp>

#include "wire/names.h"
#include "wire/user_protocol.h"

namespace bendtide::lab {

using nlohmann::json;
using namespace wire::names;

namespace {

constexpr Micros kSubmitTimeout = seconds(5);
constexpr Micros kPollTimeout = seconds(2);
constexpr Micros kPollInterval = seconds(2);
constexpr Micros kFinalPollInterval = seconds(5);
constexpr Micros kRetryInterval = seconds(1);
constexpr Micros kRunningCheckInterval = millis(20);
constexpr Micros kSubmitRetryLimit = seconds(60);
constexpr double kImpatientUserShare = 0.5;
constexpr double kCancellingUserShare = 0.5;    ///< of the impatient users
constexpr double kMaxActionDelaySeconds = 0.3;  ///< after the job was accepted or seen running
constexpr double kServiceShare = 0.1;
const std::string kUnknownJob = "run-7";

std::optional<JobPhase> phase_of(const std::string& text) {
  for (const JobPhase phase : {JobPhase::pending, JobPhase::running, JobPhase::done, JobPhase::cancelled})
    if (text == to_text(phase)) return phase;
  return std::nullopt;
}

std::string job_target(const std::string& id) { return std::string(kJobsPath) + "/" + id; }

}  // namespace

void UserCrowd::start() {
  lab_.loop.spawn(generate_users());
  lab_.loop.spawn(poll_unknown_job());
}

io::Task<> UserCrowd::generate_users() {
  co_await lab_.loop.sleep(seconds(3));
  while (lab_.now() < lab_.plan.fault_phase) {
    users_.push_back(std::make_unique<User>());
    User& user = *users_.back();
    user.spec = draw_spec();
    lab_.job_specs[user.spec.id] = user.spec;
    lab_.checker.job_submitted(user.spec);
    lab_.loop.spawn(run_user(user));
    co_await lab_.loop.sleep(lab_.random_duration(0, 2 / lab_.plan.jobs_per_second));
  }
}

JobSpec UserCrowd::draw_spec() {
  JobSpec spec;
  spec.id = "run-" + std::to_string(100'000 + users_.size());
  spec.team = lab_.random_fraction() < 0.5 ? "blue" : "green";
  spec.job_class = "class";
  spec.image = "image-" + std::to_string(lab_.random_index(3));
  spec.image_gb = 1;
  spec.task_resources = {2000, 0, 4000};
  if (lab_.random_fraction() < kServiceShare) {
    spec.shape = Shape::service;
    spec.tasks = 1;
    spec.priority = Priority::high;
    return spec;
  }
  spec.tasks = static_cast<std::uint32_t>(1 + lab_.random_index(4));
  spec.estimated_task_duration = lab_.random_duration(1, 5);
  spec.spot = lab_.random_fraction() < 0.5;
  if (lab_.random_fraction() < 0.2) {
    spec.checkpoint_interval = seconds(1);
    spec.save_duration = seconds(1);
  }
  if (lab_.random_fraction() < 0.2) spec.zone = lab_.random_fraction() < 0.5 ? "east" : "west";
  return spec;
}

// ---- one user ------------------------------------------------------------------------------------

io::Task<> UserCrowd::run_user(User& user) {
  const bool accepted = co_await submit(user);
  if (!accepted) co_return;
  if (lab_.random_fraction() < kImpatientUserShare) lab_.loop.spawn(act_at_acceptance(user));
  if (cancels_once_running()) lab_.loop.spawn(cancel_once_running(user));
  while (!lab_.closing) {
    const int controller = lab_.random_controller();
    co_await poll(user, controller);
    const Micros pause = user.saw_final_phase ? kFinalPollInterval : kPollInterval;
    co_await lab_.loop.sleep(pause);
  }
}

io::Task<bool> UserCrowd::submit(User& user) {
  const Micros since = lab_.now();
  JobSpec sent = user.spec;
  if (lab_.plan.planted_defect == PlantedDefect::misplace) sent.zone.reset();
  while (lab_.now() - since < kSubmitRetryLimit && !lab_.closing) {
    const Micros sent_at = lab_.now();
    Request request{user.spec.id,  "POST", kJobsPath, wire::body_of(sent), lab_.random_controller(),
                    kSubmitTimeout};
    const Response response = co_await send(std::move(request));
    if (response.status == 200 || response.status == 201) {
      user.accepted = true;
      lab_.checker.job_accepted(user.spec.id, lab_.now());
      record_response(user, response, sent_at);
      co_return true;
    }
    co_await lab_.loop.sleep(kRetryInterval);
  }
  co_return false;
}

io::Task<> UserCrowd::act_at_acceptance(User& user) {
  poll_all_controllers(user);
  lab_.loop.spawn(resubmit(user));
  const Micros delay = lab_.random_duration(0, kMaxActionDelaySeconds);
  if (!cancels_once_running() && lab_.random_fraction() < kCancellingUserShare) co_await cancel(user, delay);
}

bool UserCrowd::cancels_once_running() const {
  return lab_.plan.planted_defect == PlantedDefect::keep_cancelled;
}

io::Task<> UserCrowd::cancel_once_running(User& user) {
  while (!lab_.closing && !lab_.checker.is_running(user.spec.id)) {
    if (user.saw_final_phase) co_return;
    co_await lab_.loop.sleep(kRunningCheckInterval);
  }
  const Micros delay = lab_.random_duration(0, kMaxActionDelaySeconds);
  co_await cancel(user, delay);
}

io::Task<> UserCrowd::resubmit(User& user) {
  co_await lab_.loop.sleep(lab_.random_duration(0, kMaxActionDelaySeconds));
  const Micros sent_at = lab_.now();
  Request request{user.spec.id,  "POST", kJobsPath, wire::body_of(user.spec), lab_.random_controller(),
                  kSubmitTimeout};
  const Response response = co_await send(std::move(request));
  record_response(user, response, sent_at);
}

io::Task<> UserCrowd::cancel(User& user, Micros delay) {
  if (std::exchange(user.cancelling, true)) co_return;
  co_await lab_.loop.sleep(delay);
  lab_.checker.cancellation_requested(user.spec.id);
  while (!lab_.closing) {
    const Micros sent_at = lab_.now();
    Request request{
        user.spec.id,  "POST", job_target(user.spec.id) + kCancelSuffix, "{}", lab_.random_controller(),
        kSubmitTimeout};
    const Response response = co_await send(std::move(request));
    record_response(user, response, sent_at);
    if (response.status == 200 && is_final(response.phase)) {
      poll_all_controllers(user);
      co_return;
    }
    co_await lab_.loop.sleep(kRetryInterval);
  }
}

void UserCrowd::cancel_running_jobs(int count) {
  for (const auto& user : users_) {
    if (count <= 0) return;
    if (!user->accepted || user->saw_final_phase || user->cancelling ||
        !lab_.checker.is_running(user->spec.id))
      continue;
    --count;
    lab_.loop.spawn(cancel(*user, lab_.random_duration(0, 0.2)));
  }
}

void UserCrowd::poll_all_controllers(User& user) {
  for (int i = 0; i < kControllerCount; ++i) lab_.loop.spawn(poll(user, i));
}

io::Task<> UserCrowd::poll(User& user, int controller) {
  const Micros sent_at = lab_.now();
  Request request{user.spec.id, "GET", job_target(user.spec.id), "", controller, kPollTimeout};
  const Response received = co_await send(std::move(request));
  const Response response = with_planted_defect(user, received);
  if (is_failure(response)) {
    lab_.checker.poll_unanswered(user.spec.id, lab_.now());
    co_return;
  }
  record_response(user, response, sent_at);
}

void UserCrowd::record_response(User& user, const Response& response, Micros sent_at) {
  if (is_failure(response)) return;
  lab_.checker.reply_received(user.spec.id, response.status, response.phase, sent_at, lab_.now());
  if (response.status != 200) return;
  user.last_seen_phase = response.phase;
  user.saw_final_phase |= is_final(response.phase);
}

io::Task<> UserCrowd::poll_unknown_job() {
  while (!lab_.closing) {
    co_await lab_.loop.sleep(seconds(5));
    const Micros sent_at = lab_.now();
    Request request{kUnknownJob, "GET", job_target(kUnknownJob), "", lab_.random_controller(), kPollTimeout};
    Response response = co_await send(std::move(request));
    if (lab_.plan.planted_defect == PlantedDefect::invent_jobs && response.status == 404)
      response.status = 200;
    lab_.checker.reply_received(kUnknownJob, response.status, response.phase, sent_at, lab_.now());
  }
}

// ---- requests and responses -----------------------------------------------------------------------

io::Task<UserCrowd::Response> UserCrowd::send(Request request) {
  const Micros sent_at = lab_.now();
  HttpCall call{lab_.address(Laboratory::user_port(request.controller)), request.method, request.target,
                std::move(request.body), request.timeout};
  const io::HttpClient::Result result = co_await perform(lab_.loop, std::move(call));
  const Response response = parse_response(request.job, result);
  if (is_failure(response))
    ++failed_requests_;
  else
    ++responses_;
  lab_.history.add(request.job + ": " + request.method + " " + request.target + " at " +
                   Laboratory::host_name(request.controller) + " -> " + std::to_string(response.status) +
                   " " + to_text(response.phase) + " after " +
                   std::to_string((lab_.now() - sent_at).count() / 1000) + " ms");
  co_return response;
}

UserCrowd::Response UserCrowd::parse_response(const std::string& id,
                                              const io::HttpClient::Result& result) const {
  Response response{result.status, JobPhase::pending};
  if (result.status != 200 && result.status != 201) return response;
  const json body = json::parse(result.body, nullptr, false);
  const std::optional<JobPhase> phase =
      body.is_object() ? phase_of(body.value(kPhase, std::string())) : std::nullopt;
  // An unreadable response, or one about another job, counts as no response.
  if (!phase || body.value(kUid, std::string()) != id) return {};
  response.phase = *phase;
  return response;
}

UserCrowd::Response UserCrowd::with_planted_defect(const User& user, Response response) const {
  if (response.status != 200) return response;
  const PlantedDefect planted = lab_.plan.planted_defect;
  if (planted == PlantedDefect::deny_jobs) response.status = 404;
  if (planted == PlantedDefect::call_done_early && response.phase == JobPhase::running)
    response.phase = JobPhase::done;
  if (planted == PlantedDefect::take_back && response.phase == JobPhase::done &&
      user.last_seen_phase == JobPhase::done)
    response.phase = JobPhase::running;
  return response;
}

// ---- results -------------------------------------------------------------------------------------

std::size_t UserCrowd::accepted_jobs() const {
  return static_cast<std::size_t>(
      std::count_if(users_.begin(), users_.end(), [](const auto& user) { return user->accepted; }));
}

std::vector<std::string> UserCrowd::unfinished_jobs() const {
  std::vector<std::string> out;
  for (const auto& user : users_) {
    const std::string& id = user->spec.id;
    if (!user->accepted)
      out.push_back(id + ": not accepted");
    else if (user->spec.shape == Shape::service && !user->cancelling && !lab_.checker.is_running(id))
      out.push_back(id + ": service not running");
    else if ((user->spec.shape == Shape::array || user->cancelling) && !user->saw_final_phase)
      out.push_back(id + ": no final state reported");
  }
  return out;
}

}  // namespace bendtide::lab
