#include "core/provisioning/orphan_adoption.h"

namespace bendtide {

namespace {

constexpr Micros kBudgetRetryDelay = seconds(1);
constexpr Micros kOwnershipWriteTime = seconds(10);  ///< time allowed for the write of an ownership record

}  // namespace

void OrphanAdoption::start() {
  if (next_page_at_ == Micros{0}) next_page_at_ = state_.now() + state_.context.settings.cloud_list_lag * 2;
}

Micros OrphanAdoption::list_interval() const {
  return state_.context.settings.cloud_list_lag * 3 + kOwnershipWriteTime;
}

void OrphanAdoption::tick(Shard& shard) {
  if (state_.now() < next_page_at_) return;
  const bool sent =
      cloud_.call(ListMachines{list_after_},
                  [this, name = shard.name, leadership_term = shard.leadership_term](
                      const CloudResponse& response) { on_listed(name, leadership_term, response); });
  next_page_at_ = state_.now() + (sent ? list_interval() : kBudgetRetryDelay);
}

bool OrphanAdoption::should_adopt(const CloudMachine& machine, const std::string& shard_name) const {
  return fleet_.ownership().shard_of(machine.name) == nullptr &&
         fleet_.ownership().home_shard(machine.name, machine.zone) == shard_name &&
         machine.age >= list_interval();
}

void OrphanAdoption::on_listed(const std::string& shard_name, LeadershipTerm leadership_term,
                               const CloudResponse& response) {
  Shard* shard = state_.shard_in_term(shard_name, leadership_term);
  if (shard == nullptr || !response.ok()) return;
  for (const CloudMachine& machine : response.machines) {
    if (!should_adopt(machine, shard_name)) continue;
    const Micros created_at = state_.context.wall - machine.age;
    fleet_.ownership().request(*shard, machine_from({machine.name, machine.type, machine.zone, machine.spot,
                                                     machine.address, created_at}));
  }
  const bool last_page = !response.more || response.machines.empty();
  list_after_ = last_page ? "" : response.machines.back().name;
  if (!list_after_.empty()) next_page_at_ = state_.now();
}

}  // namespace bendtide
