#include "core/provisioning/scale_out.h"

#include <algorithm>

namespace bendtide {

namespace {

constexpr int kMaxMachinesPerCreation = 50;

}  // namespace

std::string ScaleOut::next_idempotency_key() {
  // The incarnation is unique to this process, so no other process ever uses the same key.
  return state_.own_host() + "-" + state_.context.incarnation + "-" +
         std::to_string(++idempotency_key_count_);
}

std::map<Offering, ScaleOut::MachinesWanted> ScaleOut::machines_wanted(Shard& shard) const {
  std::map<Offering, MachinesWanted> wanted;
  std::vector<Bin> bins = demand_.future_bins(shard);
  std::vector<Demand> demands = demand_.unmet_demands(shard, bins);
  int machines = 0;
  for (Demand& demand : demands) {
    while (demand.tasks > 0 && machines < kMaxMachinesPerCreation) {
      const std::optional<Offering> offering = offerings_.cheapest(shard, demand, demands);
      demand.job->no_offering = !offering;
      if (!offering) break;
      MachinesWanted& of_offering = wanted[*offering];
      ++of_offering.count;
      of_offering.best_effort &= demand.best_effort;
      ++machines;
      Bin bin{*offering, state_.machine_type(offering->type)->size};
      for (Demand& other : demands) pack(bin, other);
    }
  }
  return wanted;
}

void ScaleOut::scale_out(Shard& shard) {
  if (shards_creating_.contains(shard.name)) return;
  if (!unresolved_creations_.empty()) {
    // A call repeated with the same idempotency key creates no machine twice: the cloud responds with the
    // machines that it created for the first call.
    const Creation repeated = unresolved_creations_.begin()->second;
    return create_machines(shard, repeated);
  }
  const std::map<Offering, MachinesWanted> wanted = machines_wanted(shard);
  if (wanted.empty()) return;
  // The number of calls is limited: creates the largest number of machines first, those for best-effort tasks
  // last.
  auto rank = [](const auto& entry) { return std::pair(!entry.second.best_effort, entry.second.count); };
  const auto& [offering, largest] = *std::max_element(
      wanted.begin(), wanted.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  create_machines(shard,
                  {next_idempotency_key(), offering, std::min(largest.count, kMaxMachinesPerCreation)});
}

void ScaleOut::create_machines(Shard& shard, const Creation& creation) {
  const Offering& offering = creation.offering;
  const bool sent = cloud_.call(
      CreateMachines{creation.idempotency_key, offering.type, offering.zone, offering.spot, creation.count},
      [this, creation, name = shard.name, leadership_term = shard.leadership_term](
          const CloudResponse& response) { on_created(name, leadership_term, creation, response); });
  if (sent) shards_creating_.insert(shard.name);
}

void ScaleOut::on_created(const std::string& shard_name, LeadershipTerm leadership_term,
                          const Creation& creation, const CloudResponse& response) {
  shards_creating_.erase(shard_name);
  unresolved_creations_.erase(creation.idempotency_key);
  switch (response.outcome) {
    case CloudResponse::Outcome::no_capacity:
      report_exhausted(creation.offering);
      break;
    case CloudResponse::Outcome::unknown:
      unresolved_creations_[creation.idempotency_key] = creation;
      break;
    case CloudResponse::Outcome::refused:
      break;
    case CloudResponse::Outcome::ok:
      if (static_cast<int>(response.names.size()) < creation.count) report_exhausted(creation.offering);
      state_.context.info(LogMessage("machines created")
                              .shard(shard_name)
                              .zone(creation.offering.zone)
                              .detail("type", creation.offering.type)
                              .detail("spot", creation.offering.spot ? "yes" : "no")
                              .detail("count", response.names.size())
                              .detail("wanted", static_cast<std::uint64_t>(creation.count)));
      take_ownership(shard_name, leadership_term, creation.offering, response.names);
      break;
  }
}

void ScaleOut::take_ownership(const std::string& shard_name, LeadershipTerm leadership_term,
                              const Offering& offering, const std::vector<std::string>& machines) {
  Shard* shard = state_.shard_in_term(shard_name, leadership_term);
  if (shard == nullptr) return;  // the machines are adopted as orphans later
  for (const std::string& machine : machines)
    fleet_.ownership().request(
        *shard,
        machine_from({machine, offering.type, offering.zone, offering.spot, {}, state_.context.wall}));
}

void ScaleOut::report_exhausted(const Offering& offering) {
  offerings_.mark_exhausted(offering);
  for (const Peer& peer : state_.context.settings.peers)
    state_.context.emit(PeerSend{peer.host, CapacityExhausted{offering.type, offering.zone, offering.spot}});
}

void ScaleOut::on_capacity_exhausted(const CapacityExhausted& exhausted) {
  if (state_.machine_type(exhausted.type) != nullptr)
    offerings_.mark_exhausted({exhausted.type, exhausted.zone, exhausted.spot});
}

}  // namespace bendtide
