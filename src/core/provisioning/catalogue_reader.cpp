#include "core/provisioning/catalogue_reader.h"

namespace bendtide {

namespace {

constexpr Micros kReadInterval = seconds(30);
constexpr Micros kFailureRetryDelay = seconds(1);
constexpr Micros kBudgetRetryDelay = millis(200);

bool differ_in_more_than_spot_prices(std::vector<MachineType> a, std::vector<MachineType> b) {
  for (MachineType& type : a) type.spot_price = 0;
  for (MachineType& type : b) type.spot_price = 0;
  return a != b;
}

}  // namespace

void CatalogueReader::tick() {
  if (!reading_ && state_.now() >= next_read_) read();
}

void CatalogueReader::read() {
  const bool is_first_read = state_.catalogue.empty();
  reading_ = true;
  const bool sent = cloud_.call(ListMachineTypes{}, [this, is_first_read](const CloudResponse& response) {
    on_types_listed(is_first_read, response);
  });
  if (!sent) schedule_next(kBudgetRetryDelay);
  if (is_first_read) load_saved();
}

void CatalogueReader::schedule_next(Micros delay) {
  reading_ = false;
  next_read_ = state_.now() + delay;
}

void CatalogueReader::on_types_listed(bool is_first_read, const CloudResponse& response) {
  if (!response.ok() || response.types.empty()) return schedule_next(kFailureRetryDelay);
  // A change of spot prices alone is not saved, because spot prices change too often.
  if (is_first_read || differ_in_more_than_spot_prices(response.types, state_.catalogue))
    save(response.types);
  state_.catalogue = response.types;
  update_machine_sizes();
  schedule_next(kReadInterval);
}

void CatalogueReader::save(const std::vector<MachineType>& types) {
  Transaction transaction;
  transaction.writes = {{records::kCatalogueKey, records::to_json(types), 0}};
  state_.store.commit(std::move(transaction), [](const StoreResponse&) {});
}

void CatalogueReader::load_saved() {
  state_.store.get(records::kCatalogueKey, [this](const StoreResponse& response) {
    if (!response.ok() || response.entries.empty() || !state_.catalogue.empty()) return;
    if (auto types = records::read_catalogue(response.entries.front().value)) state_.catalogue = *types;
  });
}

void CatalogueReader::update_machine_sizes() {
  for (auto& [shard_name, shard] : state_.shards)
    for (auto& [machine_name, machine] : shard.machines) {
      const MachineType* type = state_.machine_type(machine.type);
      if (type == nullptr) continue;
      shard.count_usage(machine, -1);
      machine.size = type->size;
      shard.count_usage(machine, 1);
    }
}

}  // namespace bendtide
