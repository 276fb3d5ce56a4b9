// Users: they submit, poll, submit again and cancel, some of them at the moment of acceptance, and tell the
// checker what they are answered.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "http_call.h"
#include "laboratory.h"

namespace bendtide::lab {

/// A new user arrives at random times until the faults end; each submits one job and polls until the
/// laboratory closes.
class UserCrowd {
 public:
  explicit UserCrowd(Laboratory& lab) : lab_(lab) {}
  void run();

  /// Users of up to `count` running jobs cancel them within a fifth of a second.
  void cancel_some(int count);
  /// What should have been reached by the end and was not.
  std::vector<std::string> unfinished() const;
  std::size_t submitted() const { return users_.size(); }
  std::size_t accepted() const;
  std::size_t answers() const { return answers_; }
  std::size_t refusals() const { return refusals_; }

 private:
  struct User {
    JobSpec spec;
    bool accepted = false;
    bool cancelling = false;
    bool answered_final = false;         ///< that the job is done or cancelled
    std::optional<JobPhase> last_phase;  ///< that they were answered
  };
  struct Answer {
    int status = 0;
    JobPhase phase = JobPhase::pending;
  };

  io::Task<> arrive();
  JobSpec draw_spec();
  io::Task<> live(User& user);
  io::Task<bool> submit(User& user);
  io::Task<> act_at_acceptance(User& user);
  bool cancels_once_running() const;
  io::Task<> cancel_once_running(User& user);
  io::Task<> submit_again(User& user);
  io::Task<> cancel(User& user, Micros delay);
  io::Task<> poll_at(User& user, int controller);
  io::Task<> poll_unknown_job();
  void poll_everywhere(User& user);
  void record_answer(User& user, const Answer& answer, Micros asked_at);
  static bool is_refusal(const Answer& answer) { return answer.status == 0 || answer.status == 503; }
  struct Request {
    std::string job;
    std::string method;
    std::string target;
    std::string body;
    int controller = 0;
    Micros within{0};
  };
  /// Sends a request to one controller. Status 0: not answered in time. Callers name the request, as GCC 12
  /// destroys some temporaries of a co_await expression twice.
  io::Task<Answer> send(Request request);
  Answer read(const std::string& id, const io::HttpClient::Result& result) const;
  Answer with_planted_defect(const User& user, Answer answer) const;

  Laboratory& lab_;
  std::vector<std::unique_ptr<User>> users_;
  std::size_t answers_ = 0;
  std::size_t refusals_ = 0;
};

}  // namespace bendtide::lab
