#include "sim/simulated_users.h"

namespace bendtide::sim {

namespace {

constexpr Micros kRetryDelay = seconds(1);
constexpr Micros kMaxResubmissionTime = seconds(60);
constexpr Micros kPollInterval = seconds(5);
constexpr Micros kUnusualRequestInterval = seconds(11);
// Upper bounds of random delays, in milliseconds.
constexpr int kMaxAcceptanceActionDelayMillis = 300;
constexpr int kMaxJointCancellationDelayMillis = 200;
constexpr int kMaxRaceActionDelayMillis = 700;
const std::string kUnknownJob = "run-7";
const std::string kInvalidJob = "run-8";

}  // namespace

void SimulatedUsers::start() {
  for (auto& user : users_)
    environment_.simulation.schedule_at(user->submit_at, [this, user = user.get()] {
      environment_.checker.job_submitted(user->job);
      submit(*user, environment_.simulation.now());
    });
}

ControllerHost& SimulatedUsers::choose_host() {
  ControllerHost& host = controllers_.random_host();
  // Existing connections stay open to a controller that is up but not healthy; new ones go to a healthy one.
  const bool connected = environment_.scenario.impatient_users && host.is_up();
  if (connected || (host.is_up() && host.core->healthy())) return host;
  ControllerHost* chosen = &host;
  for (auto& other : controllers_.hosts())
    if (other->is_up() && other->core->healthy()) chosen = other.get();
  return *chosen;
}

void SimulatedUsers::send(const SimulatedControllers::UserRequest& request,
                          const SimulatedControllers::UserReaction& reaction) {
  controllers_.send_user_request(choose_host(), request, reaction);
}

// ---- submissions --------------------------------------------------------------------------------

void SimulatedUsers::submit(User& user, Micros since) {
  Simulation& simulation = environment_.simulation;
  const Micros sent_at = simulation.now();
  ControllerHost& host = user.controller ? *controllers_.hosts().at(*user.controller) : choose_host();
  controllers_.send_user_request(
      host, [job = user.job](Controller& core, std::uint64_t request) { core.on_submit(request, job); },
      [this, &user, &simulation, since, sent_at](const UserReply* reply) {
        if (reply != nullptr && (reply->status == 200 || reply->status == 201))
          on_accepted(user, *reply, sent_at);
        else if (simulation.now() - since < kMaxResubmissionTime)
          simulation.schedule_after(kRetryDelay, [this, &user, since] { submit(user, since); });
      });
}

void SimulatedUsers::on_accepted(User& user, const UserReply& reply, Micros sent_at) {
  Simulation& simulation = environment_.simulation;
  const Micros now = simulation.now();
  environment_.checker.job_accepted(user.job.id, now);
  environment_.checker.reply_received(user.job.id, reply.status, reply.phase, sent_at, now);
  user.accepted = true;
  simulation.schedule_after(seconds(4 + simulation.random_fraction()), [this, &user] { poll(user); });
  if (environment_.scenario.impatient_users) act_on_acceptance(user);
  if (user.cancel_at) simulation.schedule_at(std::max(now, *user.cancel_at), [this, &user] { cancel(user); });
}

void SimulatedUsers::act_on_acceptance(User& user) {
  if (std::exchange(user.acted_on_acceptance, true)) return;
  Simulation& simulation = environment_.simulation;
  environment_.evidence.add(Evidence::job_polled_at_acceptance);
  poll_everywhere(user);
  simulation.schedule_after(millis(simulation.random_index(kMaxAcceptanceActionDelayMillis)),
                            [this, &user] { submit(user, environment_.simulation.now()); });
  if (simulation.random_fraction() < 0.5) return;
  environment_.evidence.add(Evidence::job_cancelled_at_acceptance);
  simulation.schedule_after(millis(simulation.random_index(kMaxAcceptanceActionDelayMillis)),
                            [this, &user] { cancel(user); });
}

// ---- polls --------------------------------------------------------------------------------------

void SimulatedUsers::poll_everywhere(User& user) {
  for (auto& host : controllers_.hosts()) {
    const Micros sent_at = environment_.simulation.now();
    controllers_.send_user_request(
        *host, [id = user.job.id](Controller& core, std::uint64_t request) { core.on_poll(request, id); },
        [this, &user, sent_at](const UserReply* reply) {
          if (reply != nullptr && reply->status != 503)
            environment_.checker.reply_received(user.job.id, reply->status, reply->phase, sent_at,
                                                environment_.simulation.now());
        });
  }
}

void SimulatedUsers::poll(User& user) {
  const Micros sent_at = environment_.simulation.now();
  send([id = user.job.id](Controller& core, std::uint64_t request) { core.on_poll(request, id); },
       [this, &user, sent_at](const UserReply* reply) {
         Simulation& simulation = environment_.simulation;
         const bool ignored =
             environment_.defects.ignores_polls_for_one_job() && &user == users_.front().get();
         if (reply == nullptr || reply->status == 503 || ignored)
           environment_.checker.poll_unanswered(user.job.id, simulation.now());
         else
           on_poll_answered(user, *reply, sent_at);
         const Micros pause =
             user.final_reply_received ? seconds(25 + simulation.random_fraction() * 30) : kPollInterval;
         simulation.schedule_after(pause, [this, &user] { poll(user); });
       });
}

void SimulatedUsers::on_poll_answered(User& user, const UserReply& reply, Micros sent_at) {
  const UserReply seen = environment_.defects.poll_reply(reply, user.last_phase);
  environment_.checker.reply_received(user.job.id, seen.status, seen.phase, sent_at,
                                      environment_.simulation.now());
  user.last_phase = seen.phase;
  user.final_reply_received |= is_final(seen.phase);
}

// ---- cancellations ------------------------------------------------------------------------------

void SimulatedUsers::cancel(User& user) {
  user.cancelling = true;
  environment_.checker.cancellation_requested(user.job.id);
  const Micros sent_at = environment_.simulation.now();
  send([id = user.job.id](Controller& core, std::uint64_t request) { core.on_cancel(request, id); },
       [this, &user, sent_at](const UserReply* reply) {
         Simulation& simulation = environment_.simulation;
         if (reply != nullptr)
           environment_.checker.reply_received(user.job.id, reply->status, reply->phase, sent_at,
                                               simulation.now());
         if (reply != nullptr && reply->status == 200)
           on_cancelled(user, *reply);
         else
           simulation.schedule_after(kRetryDelay, [this, &user] { cancel(user); });
       });
}

void SimulatedUsers::on_cancelled(User& user, const UserReply& reply) {
  if (!environment_.faults.refused_hosts.empty())
    environment_.evidence.add(Evidence::cancelled_during_store_refusal);
  if (network_.has_partitions()) environment_.evidence.add(Evidence::cancelled_during_partition);
  user.last_phase = reply.phase;
  user.final_reply_received = true;
  if (environment_.scenario.impatient_users) poll_everywhere(user);
}

void SimulatedUsers::cancel_running_jobs(int count) {
  Simulation& simulation = environment_.simulation;
  for (auto& user : users_) {
    if (count <= 0) return;
    const bool chosen = user->accepted && !user->final_reply_received && !user->cancelling &&
                        environment_.checker.is_running(user->job.id);
    if (!chosen) continue;
    --count;
    environment_.evidence.add(Evidence::cancelled_together);
    simulation.schedule_after(millis(simulation.random_index(kMaxJointCancellationDelayMillis)),
                              [this, user = user.get()] { cancel(*user); });
  }
}

void SimulatedUsers::race_job_ends() {
  Simulation& simulation = environment_.simulation;
  if (simulation.now() >= environment_.faults.job_ends_raced_until) return;
  for (auto& user : users_) {
    const bool chosen = user->accepted && !user->acted_on_job_end && !user->final_reply_received &&
                        environment_.checker.completed_task_count(user->job.id) >= user->job.tasks;
    if (!chosen) continue;
    user->acted_on_job_end = true;
    environment_.evidence.add(Evidence::job_end_raced);
    simulation.schedule_after(millis(simulation.random_index(kMaxRaceActionDelayMillis)),
                              [this, user = user.get()] {
                                if (!user->cancelling && environment_.simulation.random_fraction() < 0.5)
                                  cancel(*user);
                              });
    simulation.schedule_after(millis(simulation.random_index(kMaxRaceActionDelayMillis)),
                              [this, user = user.get()] { submit(*user, environment_.simulation.now()); });
  }
}

// ---- unusual requests ---------------------------------------------------------------------------

void SimulatedUsers::send_unusual_requests() {
  poll_unknown_job();
  environment_.simulation.schedule_after(kUnusualRequestInterval, [this] { send_unusual_requests(); });
  if (!environment_.scenario.users_submit_invalid_jobs) return;
  resubmit_malformed();
  submit_invalid();
}

void SimulatedUsers::poll_unknown_job() {
  send([](Controller& core, std::uint64_t request) { core.on_poll(request, kUnknownJob); },
       [this](const UserReply* reply) {
         const Micros now = environment_.simulation.now();
         const int status = reply == nullptr ? 503 : environment_.defects.unknown_job_status(reply->status);
         environment_.checker.reply_received(kUnknownJob, status, JobPhase::pending, now, now);
       });
}

void SimulatedUsers::resubmit_malformed() {
  User& user = *environment_.simulation.random_element(users_);
  if (!user.accepted) return;
  const Micros sent_at = environment_.simulation.now();
  send(
      [id = user.job.id](Controller& core, std::uint64_t request) {
        core.on_invalid_submission(request, id, "crew: missing");
      },
      [this, &user, sent_at](const UserReply* reply) {
        if (reply != nullptr)
          environment_.checker.reply_received(user.job.id, reply->status, reply->phase, sent_at,
                                              environment_.simulation.now());
      });
}

void SimulatedUsers::submit_invalid() {
  JobSpec job = users_.front()->job;
  job.id = kInvalidJob;
  if (environment_.simulation.random_fraction() < 0.5)
    job.team = "nobody";
  else
    job.types = {"nothing"};
  environment_.checker.invalid_job_submitted(job.id);
  send([job](Controller& core, std::uint64_t request) { core.on_submit(request, job); },
       [this](const UserReply* reply) {
         if (reply == nullptr) return;
         const Micros now = environment_.simulation.now();
         const int status = environment_.defects.invalid_submission_status(reply->status);
         environment_.checker.reply_received(kInvalidJob, status, JobPhase::pending, now, now);
       });
}

// ---- end of the run ------------------------------------------------------------------------------

std::vector<std::string> SimulatedUsers::unfinished_jobs() const {
  std::vector<std::string> unfinished;
  for (const auto& user : users_) {
    const std::string& id = user->job.id;
    const bool service_should_run =
        user->job.shape == Shape::service && !user->cancel_at && !user->cancelling;
    if (!user->accepted)
      unfinished.push_back(id + " was not accepted");
    else if (service_should_run && !environment_.checker.is_running(id))
      unfinished.push_back(id + " is not running");
    else if (!service_should_run && !user->final_reply_received)
      unfinished.push_back(id + " has not finished");
  }
  return unfinished;
}

}  // namespace bendtide::sim
