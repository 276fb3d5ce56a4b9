// The cloud: renting for tasks that found no room, returning what is idle, deleting what is given up.
#pragma once

#include "core/fleet.h"

namespace bendtide {

class Renter {
 public:
  Renter(ControllerState& state, Fleet& fleet);

  void tick();
  void on_answer(std::uint64_t call, const CloudAnswer& answer);
  void on_shard_ready(Shard& shard);
  /// A peer was refused this kind: no need to spend a call on it.
  void on_scarce(const Scarce& scarce);

 private:
  using Done = std::function<void(const CloudAnswer&)>;
  struct Kind {  ///< what can be rented
    std::string type;
    std::string zone;
    bool spot = false;
    auto operator<=>(const Kind&) const = default;
  };

  bool call(CloudRequest request, Done done);
  void read_catalogue();
  void rent(Shard& shard);
  void order(Shard& shard, const std::string& charter, const Kind& kind, int count);
  void return_idle(Shard& shard);
  /// Stops opportunistic work that alone keeps an ordinary machine rented.
  void drain_opportunistic(Shard& shard, Machine& m) const;
  void give_up_stuck(Shard& shard);
  void remove_condemned(Shard& shard);
  void look_for_strays(Shard& shard);
  /// Machines of one kind that are wanted, and whether by opportunistic work only.
  struct Wanted {
    int count = 0;
    bool opportunistic = true;
  };
  /// Tasks of a job that still need a machine.
  struct Need {
    Job* job;
    std::int64_t tasks;
    bool opportunistic = false;
    bool spot_only = false;
  };
  /// Room of a machine that is up, that boots, or that is being added in this very pass.
  struct Bin {
    Kind kind;
    Resources free;
  };
  std::map<Kind, Wanted> demand(Shard& shard);
  std::vector<Bin> room_to_come(const Shard& shard) const;
  bool may_still_come(const Machine& m, const std::map<std::string, Micros>& newest_up) const;
  std::vector<Need> needs_beyond(Shard& shard, std::vector<Bin>& bins) const;
  static void fill(Bin& bin, Need& need);
  std::optional<Kind> cheapest(const Shard& shard, const Need& need, const std::vector<Need>& needs) const;
  static bool suits(const JobSpec& spec, const Kind& kind);
  void refused(const Kind& kind);
  std::string next_charter();

  ControllerState& state_;
  Fleet& fleet_;
  Budget budget_;
  std::map<std::uint64_t, Done> in_flight_;
  std::uint64_t next_call_ = 1;
  std::uint64_t charters_ = 0;
  std::map<Kind, Micros> none_until_;                       ///< refused lately
  std::map<std::string, std::pair<Kind, int>> unanswered_;  ///< charters to be repeated
  std::set<std::string> ordering_;                          ///< parts with a rental under way
  Micros next_catalogue_{0};
  bool reading_catalogue_ = false;
  Micros next_list_{0};
  std::string list_from_;  ///< the next page of the list begins behind it
  Micros next_rent_{0};
};

}  // namespace bendtide
