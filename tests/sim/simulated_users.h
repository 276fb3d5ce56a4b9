// The users of a simulated cluster. They submit jobs, poll them, resubmit them and cancel them, and pass the
// replies that they receive to the checker.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "sim/environment.h"
#include "sim/simulated_controllers.h"
#include "sim/simulated_network.h"

namespace bendtide::sim {

/// A user and the single job that the user submits.
struct User {
  JobSpec job;
  Micros submit_at{0};
  std::optional<std::size_t> controller{};  ///< index of the one that gets the submission; not set: any
  std::optional<Micros> cancel_at{};        ///< not set: no cancellation is planned
  bool accepted = false;                    ///< a submission was confirmed
  bool cancelling = false;                  ///< a cancellation was requested
  bool final_reply_received = false;        ///< a reply said that the job is done or cancelled
  bool acted_on_job_end = false;            ///< the user has acted when the last task ended
  bool acted_on_acceptance = false;         ///< the user has acted on the acceptance of the job
  std::optional<JobPhase> last_phase{};     ///< the phase in the latest reply to a poll or a cancellation
};

class SimulatedUsers {
 public:
  SimulatedUsers(Environment& environment, SimulatedNetwork& network, SimulatedControllers& controllers)
      : environment_(environment), network_(network), controllers_(controllers) {}

  /// Creates the users with the planned jobs of the scenario or, if there are none, with random ones.
  void create_users();
  /// Schedules the submissions of all users.
  void start();
  /// Sends a poll for a job that does not exist and, if the scenario has them, invalid requests. Schedules
  /// itself again.
  void send_unusual_requests();
  /// Makes the users of up to `count` running jobs cancel them within 200 ms.
  void cancel_running_jobs(int count);
  /// While FaultKind::race_job_ends is in effect: when all tasks of a job have completed, its user resubmits
  /// the job and, with a probability of one half, cancels it unless it is being cancelled already. Both
  /// requests are sent within 700 ms.
  void race_job_ends();

  const std::vector<std::unique_ptr<User>>& users() const { return users_; }
  /// Returns a description of each job that has not reached its expected state by the end of the run:
  /// accepted, running if it is a service that nobody cancelled, and finished otherwise.
  std::vector<std::string> unfinished_jobs() const;

 private:
  void add_user(std::unique_ptr<User> user);
  /// Returns a random job; `number` makes its id unique.
  JobSpec random_job(int number);
  /// Returns the job with random properties of an array: tasks, estimate, checkpoints and constraints.
  JobSpec with_random_array_properties(JobSpec job);
  /// Returns the job with a random zone constraint, or with none.
  JobSpec with_random_zone_constraint(JobSpec job);

  /// Submits the job and retries until it is accepted, or until 60 s have passed since `since`.
  void submit(User& user, Micros since);
  void on_accepted(User& user, const UserReply& reply, Micros sent_at);
  /// Makes an impatient user poll all controllers, resubmit the job and, with a probability of one half,
  /// cancel it. A successful cancellation makes the user poll all controllers again.
  void act_on_acceptance(User& user);
  /// Polls the job, and schedules the next poll.
  void poll(User& user);
  void on_poll_answered(User& user, const UserReply& reply, Micros sent_at);
  /// Polls the job at all controllers at the same time.
  void poll_everywhere(User& user);
  /// Requests the cancellation of the job, and retries until it succeeds.
  void cancel(User& user);
  void on_cancelled(User& user, const UserReply& reply);
  void poll_unknown_job();
  /// Resubmits an accepted job with an invalid body. The controllers must recognise a repeated submission by
  /// its job id alone, whatever else it contains.
  void resubmit_malformed();
  /// Submits a job of an unknown team or for an unknown machine type.
  void submit_invalid();

  /// Returns the controller for the next request: a random one or, unless the user is impatient, a healthy
  /// one if there is any. Impatient users stay connected to a controller that is up but not healthy.
  ControllerHost& choose_host();
  /// Sends a request to the controller that choose_host() returns.
  void send(const SimulatedControllers::UserRequest& request,
            const SimulatedControllers::UserReaction& reaction);

  Environment& environment_;
  SimulatedNetwork& network_;
  SimulatedControllers& controllers_;
  std::vector<std::unique_ptr<User>> users_;
};

}  // namespace bendtide::sim
