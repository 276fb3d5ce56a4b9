// The core's client of the state service: keeps to its share of the published rates, bounds its queue, and
// hands every answer to the one who asked.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <unordered_map>

#include "core/context.h"

namespace bendtide {

class Store {
 public:
  using Done = std::function<void(const StateAnswer&)>;

  /// What goes first when the budget is short: what users wait for, then the work, then what can wait.
  enum class Rank : std::uint8_t { first, normal, later };

  explicit Store(Context& context);

  void get(std::string key, Done done);
  /// All rows under a prefix, page after page; any failed page fails the whole.
  void list(std::string prefix, Done done);
  void commit(StateCommit txn, Done done, Rank rank = Rank::normal);
  /// Leases go ahead of everything else and are never queued behind it.
  void lease(Micros term, Done done);
  void renew(std::uint64_t lease, Done done);

  void on_answer(std::uint64_t call, const StateAnswer& answer);
  /// Sends what the budget allows by now.
  void pump();
  bool busy() const { return reads_.size() + commits_[0].size() + commits_[1].size() > kQueue / 4; }
  /// Whether calls have been failing for a while, with none answered since.
  bool failing() const { return failing_since_ && context_.now - *failing_since_ > kFailing; }
  bool answers() const { return !failing_since_ && last_answer_ != Micros{0}; }

 private:
  struct Pending {
    StateRequest request;
    Done done;
  };
  using Queue = std::deque<Pending>;
  struct InFlight {
    Done done;
    Micros sent{0};
    std::string what;  ///< for the log, if debug lines are written
  };
  void enqueue(Queue& queue, StateRequest request, Done done);
  bool send_next(Queue& queue, double reserve);
  void send(Pending p);
  void list_page(std::string prefix, std::string after, std::vector<StateRow> rows, Done done);

  static constexpr std::size_t kQueue = 256;
  static constexpr Micros kFailing = seconds(2);
  static constexpr std::size_t kInFlight = 16;

  Context& context_;
  double most_writes_;  ///< in one burst
  Budget calls_;
  Budget writes_;
  Queue reads_;
  std::array<Queue, 3> commits_;  ///< by rank
  std::unordered_map<std::uint64_t, InFlight> in_flight_;
  std::uint64_t next_call_ = 1;
  Micros last_answer_{0};
  std::optional<Micros> failing_since_;
};

}  // namespace bendtide
