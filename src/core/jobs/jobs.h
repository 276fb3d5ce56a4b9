// Jobs as users know them. Each file has one responsibility: jobs_submission, jobs_status, jobs_peers,
// jobs_ending and jobs_recording.
#pragma once

#include <deque>

#include "core/state/controller_state.h"

namespace bendtide {

class Jobs {
 public:
  struct Hooks {
    std::function<void(Shard&)> schedule;
    std::function<void()> invalidate_leases;
  };
  Jobs(ControllerState& state, Hooks hooks);

  void tick();
  void on_submit(std::uint64_t request, const JobSpec& spec);
  /// A submission that can't be read, but for the job's id.
  void on_malformed(std::uint64_t request, const std::string& id, const std::string& why);
  void on_poll(std::uint64_t request, const std::string& id);
  void on_cancel(std::uint64_t request, const std::string& id);
  void on_query(const std::string& from_host, const JobQuery& query);
  void on_reply(const JobReply& reply);

  /// Adds a job of a shard that is being loaded.
  static Job& load(Shard& shard, const records::LiveJob& record);
  /// Where a job is, as read just now.
  void learn(const records::LiveJob& record);

 private:
  struct JobStatus {
    JobPhase phase = JobPhase::pending;
    std::uint64_t done = 0;
    std::uint64_t running = 0;
  };
  /// Gets the answer for the user, or for the peer that asks for its own.
  using ReplyCallback = std::function<void(const UserReply&)>;
  struct PendingQuestion {
    Micros until{0};
    std::size_t outstanding = 0;
    ReplyCallback respond;
  };
  /// A submission on its way into the key-value store, and everybody who waits for it.
  struct Submission {
    records::LiveJob record;
    std::vector<ReplyCallback> callbacks;
  };
  /// Submissions that share one write.
  struct Batch {
    std::string shard;
    std::uint64_t leadership_term = 0;
    Micros asked{0};  ///< when the write was handed over
    std::vector<Submission> jobs;
  };

  ReplyCallback to_user(std::uint64_t request);
  /// The last look at an answer before it goes out: nobody is told less than what is known to be final.
  UserReply never_older(const UserReply& reply);
  static UserReply known_reply(const std::string& id, const JobStatus& known, int status = 200);
  static UserReply absent(const std::string& id);
  static UserReply unavailable(const std::string& id, int retry_after_s = 1);

  /// What this controller may say of a job on its own: final, or ours under a term that still runs.
  std::optional<JobStatus> from_memory(const std::string& id) const;
  /// Whether our own shard can't take jobs now, or can't write that it does.
  bool can_accept() const;

  // The same for users and for peers that pass their users' requests on; only the former may be passed on.
  void submit(const JobSpec& spec, ReplyCallback respond, bool may_pass_on);
  void poll(const std::string& id, ReplyCallback respond, bool may_pass_on);
  /// Polls about one job that is not known here, from users (may be passed on) or from peers.
  struct SharedPoll {
    std::string id;
    bool may_pass_on = false;
    auto operator<=>(const SharedPoll&) const = default;
  };
  void ask_holder_or_read(const SharedPoll& poll, std::vector<ReplyCallback> askers);
  void answer_those_who_waited(const SharedPoll& poll);
  void cancel(const std::string& id, const ReplyCallback& respond, bool may_pass_on);

  /// A question that the records of a job are to answer.
  struct JobRead {
    std::string job;
    Micros asked{0};
    bool may_pass_on = false;
    ReplyCallback respond;
  };
  void read_and_tell(const std::string& id, const ReplyCallback& respond, bool may_pass_on);
  void on_live_record(const JobRead& read, const StoreResponse& a);
  void on_final_record(const JobRead& read, const StoreResponse& a);
  void on_record_unreadable(const JobRead& read);
  /// Asks peers; the first good answer counts, and none of them is "unsure".
  void ask(const std::vector<std::string>& hosts, JobQuery query, Micros within, ReplyCallback respond);
  std::vector<std::string> peers() const;
  void give_up_late_questions();
  /// The reason why a job can never run here, if it can't.
  std::optional<std::string> impossible(const JobSpec& spec) const;

  void refuse(const std::string& id, UserReply refusal, ReplyCallback respond, bool may_pass_on);
  void write_accepted(Shard& shard);
  void on_accepted(Batch batch, const StoreResponse& a);
  void accepted(Submission& one, const Batch& batch, const StoreResponse& a);
  void not_accepted(Batch& batch, const StoreResponse& a);
  void give_up_queued_submissions();
  /// Loads a job that was found unfinished by a request made at `asked`, if that may still be acted on.
  Job* load_if_current(Shard& shard, const records::LiveJob& record, Micros asked);
  void end_finished_jobs(Shard& shard);
  void finalize(Shard& shard, Job& job, JobPhase phase, const ReplyCallback& respond);
  /// The last write of a job, tried until its outcome is known.
  struct FinalWrite {
    std::string shard;
    std::uint64_t leadership_term = 0;
    std::string job;
    JobPhase phase = JobPhase::done;
    bool outcome_unknown = false;  ///< an earlier try got no answer
  };
  void write_final(const FinalWrite& write, const ReplyCallback& respond);
  void on_final_written(const FinalWrite& write, const StoreResponse& a, const ReplyCallback& respond);
  /// The key-value store holds a final state already: that one counts, whatever this controller believes.
  void read_final(const FinalWrite& write, const ReplyCallback& respond);
  void conclude(const FinalWrite& write, JobPhase phase, const ReplyCallback& respond);
  void settle(Shard& shard);

  /// Tasks of one chunk whose end is being recorded.
  struct Recorded {
    std::string job;
    std::uint32_t chunk = 0;
    std::vector<std::uint32_t> tasks;
  };
  void record(Shard& shard);
  void mark_slots_to_write(Shard& shard) const;
  static records::DoneBits done_bits(const Job& job, std::uint32_t chunk, std::vector<Recorded>& batch);
  static std::vector<records::DoneBits> slot_value(Shard& shard, DoneSlot& slot,
                                                   std::vector<Recorded>& batch);
  DoneSlot& slot_for(Shard& shard, const Job& job, std::uint32_t chunk) const;
  void on_recorded(Shard& shard, const std::vector<Recorded>& batch, const std::vector<std::uint32_t>& slots,
                   const StoreResponse& a);
  void read_slot(Shard& shard, std::uint32_t slot);
  void remember(const std::string& id, const FinalState& state);
  void reread(Shard& shard);

  static constexpr std::size_t kRoutesRemembered = 4096;
  /// For peers to answer what is passed on to them.
  static constexpr Micros kPassOnWithin = seconds(1.2);
  static constexpr std::size_t kQuestions = 512;
  static constexpr std::size_t kAcceptanceWrites = 2;

  ControllerState& state_;
  Hooks hooks_;
  std::map<std::string, std::string> shard_of_;
  /// Polls under way, and who has asked the same since: these wait for the next.
  std::map<SharedPoll, std::vector<ReplyCallback>> shared_polls_;
  std::map<std::uint64_t, PendingQuestion> pending_questions_;
  std::uint64_t next_question_;
  std::deque<Submission> queued_submissions_;  ///< not written yet
  std::map<std::string, std::vector<ReplyCallback>>
      submissions_in_flight_;  ///< who asked again meanwhile, by job
  std::size_t acceptance_writes_ = 0;
};

}  // namespace bendtide
