// Which parts this controller holds: the lease, taking, bumping, handing back.
#pragma once

#include "core/fleet.h"

namespace bendtide {

class Holdings {
 public:
  using Taken = std::function<void(Part&)>;
  using Dropped = std::function<void(const std::string& part)>;

  Holdings(Cluster& cluster, Fleet& fleet, Taken on_taken, Dropped on_dropped);

  void tick();
  /// Rewrites our holding record, for a token above all that were ever given out.
  void raise_token(Part& part);
  /// Another controller wants its own part back.
  void hand_back(const std::string& part);
  void on_wellbeing(const std::string& host, const Wellbeing& said);
  /// Another controller has let go of a part that it can't serve.
  void on_resign(const Resign& resign);
  /// A write met a token that is not ours: find out.
  void doubt() { next_look_ = Micros{0}; }

 private:
  void renew_lease();
  void look();
  void on_routes(const StateAnswer& answer);
  void consider(const std::string& part);
  void take(const std::string& part, std::uint64_t seen_stamp);
  void on_take_answered(const std::string& part, std::uint64_t seen_stamp, const StateAnswer& a);
  void settle_take(const std::string& part);
  /// Ends a taking; false if the lease that the record was written under is no longer ours, so that the
  /// record goes with it, or has gone.
  bool end_take(const std::string& part);
  void adopt(const std::string& part, std::uint64_t token, std::uint64_t over);
  void drop(std::string part, const char* why);
  void lose_lease();
  void tell_peers();
  /// Whether a peer could serve a part of ours that we can't; then which.
  std::optional<std::string> better_host(const Part& part) const;
  bool hears_nobody(const Part& part) const;
  void resign(Part& part, const std::string& to, bool asked_for, const char* why);
  void probe_workers();

  /// After we let go of our own part, we do not ask for it back for a while, nor before a worker of it has
  /// answered us if it was for their silence.
  struct Resigned {
    Micros until{0};
    std::vector<std::string> workers;  ///< some addresses; none: no need to ask them
    bool probing = false;
    Micros next_probe{0};
  };

  Cluster& cluster_;
  Fleet& fleet_;
  Taken on_taken_;
  Dropped on_dropped_;
  std::uint64_t lease_ = 0;
  bool lease_call_ = false;
  Micros next_renewal_{0};
  bool looking_ = false;
  Micros next_look_{0};
  std::map<std::string, std::uint64_t> taking_;  ///< parts whose taking is under way, and under which lease
  std::uint64_t generations_ = 0;
  Micros next_word_{0};
  std::map<std::string, Resigned> resigned_;
  std::map<std::string, Micros> handed_;  ///< parts that a peer could not serve and left to us, and when
  std::map<std::string, Resign>
      words_;  ///< the last one for each part: counts if it is of the record taken over
};

}  // namespace bendtide
