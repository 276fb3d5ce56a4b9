// Simulated users, which submit, poll, resubmit and cancel jobs, some of them right after the acceptance, and
// report the responses to the checker.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "http_call.h"
#include "laboratory.h"

namespace bendtide::lab {

/// Adds users at random times until the end of the fault phase. Each user submits one job and polls it until
/// the soak ends.
class UserCrowd {
 public:
  explicit UserCrowd(Laboratory& lab) : lab_(lab) {}
  /// Starts to add users.
  void start();

  /// Lets the users of up to `count` running jobs cancel them within 0.2 s.
  void cancel_running_jobs(int count);
  /// Describes each job that is not in the state that it must have at the end of a soak: submissions are
  /// accepted, services run, and users of arrays and of cancelled jobs have seen a final phase.
  std::vector<std::string> unfinished_jobs() const;
  std::size_t submitted_jobs() const { return users_.size(); }
  std::size_t accepted_jobs() const;
  std::size_t responses() const { return responses_; }
  /// Number of requests without a usable response: timeouts, failed connections and status 503.
  std::size_t failed_requests() const { return failed_requests_; }

 private:
  struct User {
    JobSpec spec;
    bool accepted = false;
    bool cancelling = false;
    bool saw_final_phase = false;             ///< a response told the user that the job is done or cancelled
    std::optional<JobPhase> last_seen_phase;  ///< in the last successful response
  };
  struct Response {
    int status = 0;
    JobPhase phase = JobPhase::pending;
  };

  io::Task<> generate_users();
  /// Returns a random job.
  JobSpec draw_spec();
  /// Submits the user's job and polls it until the soak ends.
  io::Task<> run_user(User& user);
  /// Retries until the job is accepted (true), or gives up after kSubmitRetryLimit or at the end of the soak
  /// (false).
  io::Task<bool> submit(User& user);
  /// Polls all controllers, resubmits and perhaps cancels, all within kMaxActionDelaySeconds.
  io::Task<> act_at_acceptance(User& user);
  /// Whether every user cancels the job once it runs. True with the defect keep_cancelled: lost stop commands
  /// have an effect only on jobs that are cancelled while they run.
  bool cancels_once_running() const;
  io::Task<> cancel_once_running(User& user);
  io::Task<> resubmit(User& user);
  /// Cancels after a delay; retries until a response calls the job done or cancelled.
  io::Task<> cancel(User& user, Micros delay);
  io::Task<> poll(User& user, int controller);
  /// Regularly polls the id of a job that was never submitted.
  io::Task<> poll_unknown_job();
  void poll_all_controllers(User& user);
  /// Reports a response to the checker, unless the request failed.
  void record_response(User& user, const Response& response, Micros sent_at);
  /// Whether a request got no usable response.
  static bool is_failure(const Response& response) { return response.status == 0 || response.status == 503; }
  struct Request {
    std::string job;
    std::string method;
    std::string target;
    std::string body;
    int controller = 0;
    Micros timeout{0};
  };
  /// Sends a request to one controller. Returns status 0 if there is no readable response in time. Callers
  /// move a named Request into `request` instead of passing a temporary, because GCC 12 destroys some
  /// temporaries of a co_await expression twice.
  io::Task<Response> send(Request request);
  /// Parses a response; status 0 if it can't be read or is about a job other than `id`.
  Response parse_response(const std::string& id, const io::HttpClient::Result& result) const;
  /// Returns `response`, or what the planted defect makes of it.
  Response with_planted_defect(const User& user, Response response) const;

  Laboratory& lab_;
  std::vector<std::unique_ptr<User>> users_;
  std::size_t responses_ = 0;
  std::size_t failed_requests_ = 0;
};

}  // namespace bendtide::lab
