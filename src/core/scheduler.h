// Placement within one part: who goes first, on which machine, and who has to make room.
#pragma once

#include "core/fleet.h"

namespace bendtide {

class Scheduler {
 public:
  Scheduler(ControllerState& state, Fleet& fleet) : state_(state), fleet_(fleet) {}

  /// Places what can be placed; leaves in each job how many tasks found no room. Does nothing unless
  /// something has changed since the last pass, or a while has gone by.
  void pass(Shard& shard);
  /// Places on one machine what waited at the last pass, so that the answer to its report brings it new work.
  void fill(Shard& shard, Machine& machine);
  /// How many tasks of a call this part could take, and how soon.
  struct Offer {
    std::uint32_t tasks = 0;
    Micros delay{0};
  };
  Offer offer(Shard& shard, const Call& call) const;
  /// The share of a team's guarantee that falls to this part.
  Quota guarantee(const Shard& shard, const std::string& team) const;

 private:
  struct Room {
    Machine* machine;
    Resources free;
    Resources coming;  ///< of tasks already told to stop, as far as nobody was promised it
  };
  using PerZone = std::map<std::string, std::int64_t>;

  struct Urgency {
    int lost;
    Micros start_by;
  };
  Urgency urgency(const Job& job) const;
  void rank(Shard& shard);
  std::vector<Room> rooms(Shard& shard) const;
  static bool allowed(const Job& job, const Machine& m, const PerZone& per_zone);
  /// Opportunistic work does not begin on an ordinary machine that nothing else needs: it would keep it
  /// rented.
  bool worth_its_price(const Shard& shard, const Job& job, const Machine& m) const;
  /// Places as many waiting tasks of a job as fit on a machine and into the share.
  void place(Shard& shard, const Ranked& ranked, Room& room, PerZone& per_zone);
  void place_all(Shard& shard, const Ranked& ranked, std::vector<Room>& rooms, PerZone& per_zone);
  /// Whose tasks may be stopped for others.
  struct Losers {
    Priority lowest = Priority::production;
    std::set<std::string> over_guarantee;  ///< teams that use more
  };
  Losers losers(const Shard& shard) const;
  /// Whether a service begins sooner on a machine that caches its image, once lesser tasks there have given
  /// way, than anywhere else with a fetch.
  bool sooner_where_cached(const Shard& shard, const Job& job, const std::vector<Room>& rooms,
                           const PerZone& per_zone) const;
  /// Stops tasks that have to give way. The room is there once their machines have shown them gone.
  void make_room(Shard& shard, const Ranked& ranked, std::vector<Room>& rooms, const PerZone& per_zone,
                 std::int64_t& coming);
  Micros guarantee_within() const;
  /// Where tasks of the job are, or may be.
  static PerZone zones_of(const Shard& shard, const Job& job);

  ControllerState& state_;
  Fleet& fleet_;
};

}  // namespace bendtide
