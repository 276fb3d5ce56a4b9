#include "sim/simulated_network.h"

namespace bendtide::sim {

namespace {

constexpr Micros kMinLatency = millis(1);
constexpr int kLatencyRangeMicros = 4000;
constexpr double kSlowMessageProbability = 0.01;
constexpr double kDuplicateProbability = 0.02;
constexpr Micros kHangCheckInterval = millis(100);

}  // namespace

void SimulatedNetwork::partition(const std::string& one, const std::string& other, bool hold,
                                 Micros duration) {
  const Link link = std::minmax(one, other);
  if (!partitions_.try_emplace(link, Partition{hold, {}}).second) return;
  environment_.simulation.schedule_after(duration, [this, link] { end_partition(link); });
}

void SimulatedNetwork::end_partition(const Link& link) {
  Partition partition = std::move(partitions_.at(link));
  partitions_.erase(link);
  Micros delay = millis(1);
  for (Delivery& delivery : partition.held) {
    delay += millis(1);
    environment_.simulation.schedule_after(delay, std::move(delivery));
  }
}

void SimulatedNetwork::send(const std::string& from, const std::string& to, Delivery delivery) {
  if (const auto partition = partitions_.find(std::minmax(from, to)); partition != partitions_.end()) {
    if (!partition->second.hold) return;
    partition->second.held.push_back(std::move(delivery));
    environment_.evidence.add(Evidence::message_held);
    return;
  }
  Simulation& simulation = environment_.simulation;
  Micros latency = kMinLatency + Micros{simulation.random_index(kLatencyRangeMicros)};
  if (simulation.random_fraction() < kSlowMessageProbability)
    latency += millis(200 + simulation.random_index(1500));
  simulation.schedule_after(latency, std::move(delivery));
}

void SimulatedNetwork::send_to_host(const std::string& from, const std::string& to, Delivery delivery) {
  send(from, to, [this, to, delivery = std::move(delivery)] { deliver_when_responsive(to, delivery); });
}

void SimulatedNetwork::deliver_when_responsive(const std::string& to, const Delivery& delivery) {
  const auto machine = machines_.cloud().machines().find(to);
  const bool is_hanging = machine != machines_.cloud().machines().end() && machine->second.worker &&
                          machine->second.worker->hanging;
  if (!is_hanging) return delivery();
  environment_.simulation.schedule_after(kHangCheckInterval,
                                         [this, to, delivery] { deliver_when_responsive(to, delivery); });
}

void SimulatedNetwork::duplicate_randomly(Delivery delivery) {
  Simulation& simulation = environment_.simulation;
  if (!environment_.scenario.inject_faults || simulation.random_fraction() > kDuplicateProbability) return;
  simulation.schedule_after(seconds(0.5 + simulation.random_fraction() * 40), std::move(delivery));
}

}  // namespace bendtide::sim
