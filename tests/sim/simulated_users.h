// The users of a simulated cluster: they submit jobs, poll, submit again and cancel, and tell the checker
// what they are answered.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "sim/environment.h"
#include "sim/simulated_controllers.h"
#include "sim/simulated_network.h"

namespace bendtide::sim {

/// One user and the job that they submit.
struct User {
  JobSpec job;
  Micros submit_at{0};
  std::optional<Micros> cancel_at;
  bool accepted = false;
  bool cancelling = false;
  bool answered_final = false;  ///< that the job is done or cancelled
  bool raced_end = false;       ///< acted while the last task ended
  bool acted_at_acceptance = false;
  std::optional<JobPhase> last_phase;  ///< that they were answered
};

class SimulatedUsers {
 public:
  SimulatedUsers(Environment& environment, SimulatedNetwork& network, SimulatedControllers& controllers)
      : environment_(environment), network_(network), controllers_(controllers) {}

  /// Draws the users' jobs.
  void draw();
  /// Schedules all submissions.
  void start();
  /// From time to time: polls for a job that never was, and requests that are invalid.
  void send_odd_requests();
  /// Users of up to `count` running jobs cancel them within a fifth of a second.
  void cancel_running(int count);
  /// While job ends are to be raced: as the last task of a job ends, its user cancels it or not, polls, and
  /// submits it again.
  void race_job_ends();

  const std::vector<std::unique_ptr<User>>& all() const { return users_; }
  /// What should have been reached by the end of the run and was not.
  std::vector<std::string> unfinished() const;

 private:
  JobSpec draw_job(int number);
  JobSpec with_array_drawn(JobSpec job);
  JobSpec with_zone_rule_drawn(JobSpec job);

  void submit(User& user, Micros since);
  void on_accepted(User& user, const UserReply& reply, Micros asked_at);
  void act_at_acceptance(User& user);
  void poll(User& user);
  void on_poll_answered(User& user, const UserReply& reply, Micros asked_at);
  void poll_everywhere(User& user);
  void cancel(User& user);
  void on_cancelled(User& user, const UserReply& reply);
  void poll_unknown_job();
  void repeat_malformed();
  void submit_invalid();

  ControllerHost& choose_host();
  void send(const SimulatedControllers::UserRequest& request,
            const SimulatedControllers::UserReaction& reaction);

  Environment& environment_;
  SimulatedNetwork& network_;
  SimulatedControllers& controllers_;
  std::vector<std::unique_ptr<User>> users_;
};

}  // namespace bendtide::sim
