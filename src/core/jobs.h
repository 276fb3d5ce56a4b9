// Jobs as users know them: accepting, answering, cancelling, and recording what finished.
#pragma once

#include <deque>

#include "core/cluster.h"

namespace bendtide {

class Jobs {
 public:
  struct Hooks {
    std::function<void(Part&)> schedule;
    std::function<void()> doubt_holdings;
  };
  Jobs(Cluster& cluster, Hooks hooks);

  void tick();
  void on_submit(std::uint64_t request, const JobSpec& spec);
  /// A submission that can't be read, but for the job's id.
  void on_malformed(std::uint64_t request, const std::string& id, const std::string& why);
  void on_poll(std::uint64_t request, const std::string& id);
  void on_cancel(std::uint64_t request, const std::string& id);
  void on_query(const std::string& from_host, const JobQuery& query);
  void on_reply(const JobReply& reply);

  /// Adds a job of a part that is being loaded.
  static Job& load(Part& part, const records::LiveJob& record);
  /// Where a job is, as read just now.
  void learn(const records::LiveJob& record);

 private:
  struct Known {
    JobPhase phase = JobPhase::pending;
    std::uint64_t done = 0;
    std::uint64_t running = 0;
  };
  /// Gets the answer for the user, or for the peer that asks for its own.
  using Told = std::function<void(const UserReply&)>;
  struct Asked {
    Micros until{0};
    std::size_t outstanding = 0;
    Told told;
  };
  /// A submission on its way into the state service, and everybody who waits for it.
  struct Accepting {
    records::LiveJob record;
    std::vector<Told> told;
  };
  /// Submissions that share one write.
  struct Batch {
    std::string part;
    std::uint64_t generation = 0;
    Micros asked{0};  ///< when the write was handed over
    std::vector<Accepting> jobs;
  };

  Told to_user(std::uint64_t request);
  /// The last look at an answer before it goes out: nobody is told less than what is known to be final.
  UserReply never_older(const UserReply& reply);
  static UserReply known_reply(const std::string& id, const Known& known, int status = 200);
  static UserReply absent(const std::string& id);
  static UserReply unsure(const std::string& id, int retry_after_s = 1);

  /// What this controller may say of a job on its own: final, or ours under a term that still runs.
  std::optional<Known> from_memory(const std::string& id) const;
  /// Whether our own part can't take jobs now, or can't write that it does.
  bool can_accept() const;

  // The same for users and for peers that pass their users' requests on; only the former may be passed on.
  void submit(const JobSpec& spec, Told told, bool may_pass_on);
  void poll(const std::string& id, Told told, bool may_pass_on);
  /// Polls about one job that is not known here, from users (may be passed on) or from peers.
  struct SharedPoll {
    std::string id;
    bool may_pass_on = false;
    auto operator<=>(const SharedPoll&) const = default;
  };
  void find_out(const SharedPoll& poll, std::vector<Told> askers);
  void found_out(const SharedPoll& poll);
  void cancel(const std::string& id, const Told& told, bool may_pass_on);

  void read_and_tell(const std::string& id, const Told& told, bool may_pass_on);
  /// Asks peers; the first good answer counts, and none of them is "unsure".
  void ask(const std::vector<std::string>& hosts, JobQuery query, Micros within, Told told);
  std::vector<std::string> peers() const;
  /// The reason why a job can never run here, if it can't.
  std::optional<std::string> impossible(const JobSpec& spec) const;

  void refuse(const std::string& id, UserReply refusal, Told told, bool may_pass_on);
  void write_accepted(Part& part);
  void on_accepted(Batch batch, const StateAnswer& a);
  void accepted(Accepting& one, const Batch& batch, const StateAnswer& a);
  void not_accepted(Batch& batch, const StateAnswer& a);
  /// Loads a job that was found unfinished by a request made at `asked`, if that may still be acted on.
  Job* load_if_current(Part& part, const records::LiveJob& record, Micros asked);
  void finalize(Part& part, Job& job, JobPhase phase, const Told& told);
  /// The last write of a job, tried until its outcome is known.
  struct FinalWrite {
    std::string part;
    std::uint64_t generation = 0;
    std::string job;
    JobPhase phase = JobPhase::done;
    bool outcome_unknown = false;  ///< an earlier try got no answer
  };
  void write_final(const FinalWrite& write, const Told& told);
  void on_final_written(const FinalWrite& write, const StateAnswer& a, const Told& told);
  /// The state service holds a final state already: that one counts, whatever this controller believes.
  void read_final(const FinalWrite& write, const Told& told);
  void conclude(const FinalWrite& write, JobPhase phase, const Told& told);
  void settle(Part& part);

  /// Tasks of one chunk whose end is being recorded.
  struct Recorded {
    std::string job;
    std::uint32_t chunk = 0;
    std::vector<std::uint32_t> tasks;
  };
  void record(Part& part);
  DoneSlot& slot_for(Part& part, const Job& job, std::uint32_t chunk) const;
  void on_recorded(Part& part, const std::vector<Recorded>& batch, const std::vector<std::uint32_t>& slots,
                   const StateAnswer& a);
  void read_slot(Part& part, std::uint32_t slot);
  void remember(const std::string& id, const FinalState& state);
  void reread(Part& part);

  static constexpr std::size_t kRoutesRemembered = 4096;
  static constexpr std::size_t kQuestions = 512;
  static constexpr std::size_t kAcceptWrites = 2;

  Cluster& cluster_;
  Hooks hooks_;
  std::map<std::string, std::string> part_of_;
  /// Polls under way, and who has asked the same since: these wait for the next.
  std::map<SharedPoll, std::vector<Told>> shared_polls_;
  std::map<std::uint64_t, Asked> asked_;
  std::uint64_t next_question_;
  std::deque<Accepting> accepting_;                         ///< not written yet
  std::map<std::string, std::vector<Told>> being_written_;  ///< who asked again meanwhile, by job
  std::size_t accept_writes_ = 0;
};

}  // namespace bendtide
