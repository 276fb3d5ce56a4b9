// Users: they submit, ask, submit again and cancel, some of them in great haste, and tell the checker what
// they are answered.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "http_call.h"
#include "laboratory.h"

namespace bendtide::lab {

class UserCrowd {
 public:
  explicit UserCrowd(Laboratory& lab) : lab_(lab) {}
  void run();

  /// That many jobs that run are called off within a fifth of a second.
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
    bool over = false;
    std::optional<JobPhase> last;
  };
  struct Answer {
    int status = 0;
    JobPhase phase = JobPhase::pending;
  };

  io::Task<> arrive();
  JobSpec draw_spec();
  io::Task<> live(User& user);
  io::Task<bool> submit(User& user);
  io::Task<> hurry(User& user);
  io::Task<> submit_again(User& user);
  io::Task<> cancel(User& user, Micros delay);
  io::Task<> poll_at(User& user, int controller);
  io::Task<> ask_about_nothing();
  void look_closely(User& user);
  void tell_checker(User& user, const Answer& answer, Micros asked);
  struct Question {
    std::string job;
    std::string method;
    std::string target;
    std::string body;
    int controller = 0;
    Micros within{0};
  };
  /// Asks one controller: answered, refused, or not answered in time. Callers name the question, as GCC 12
  /// destroys some temporaries of a co_await expression twice.
  io::Task<Answer> ask(Question question);
  Answer read(const std::string& id, const io::HttpClient::Result& result) const;
  void plant(const User& user, Answer& answer) const;
  int any_controller() { return lab_.pick(kControllers); }

  Laboratory& lab_;
  std::vector<std::unique_ptr<User>> users_;
  std::size_t answers_ = 0;
  std::size_t refusals_ = 0;
};

}  // namespace bendtide::lab
