#include "sim/late_start_copies.h"

#include <nlohmann/json.hpp>

#include "sim/simulated_worker.h"
#include "wire/names.h"

namespace bendtide::sim {

using nlohmann::json;
using namespace wire::names;

namespace {

constexpr std::size_t kCopiesPerMachine = 16;

std::vector<std::pair<TaskId, std::uint64_t>> starts_in(const std::string& body) {
  std::vector<std::pair<TaskId, std::uint64_t>> starts;
  const json request = json::parse(body);
  for (const json& command : request.at(kCommands)) {
    if (command.at(kVerb) != "run") continue;
    const auto name = command.at(kTask).get<std::string>();
    const auto slash = name.find('/');
    const TaskId task{name.substr(0, slash), static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)))};
    starts.emplace_back(task, command.at(kAttempt).get<std::uint64_t>());
  }
  return starts;
}

}  // namespace

const char* to_text(Comeback comeback) {
  switch (comeback) {
    case Comeback::controller:
      return "controller restarted";
    case Comeback::leader:
      return "leader changed";
    case Comeback::machine:
      return "machine returned";
    case Comeback::count:
      break;
  }
  return "unknown";
}

const char* to_text(AttemptMemory memory) {
  return memory == AttemptMemory::known ? "attempt known" : "attempt cleared";
}

const char* to_text(TaskFate fate) {
  switch (fate) {
    case TaskFate::unchanged:
      return "task unchanged";
    case TaskFate::moved:
      return "task moved";
    case TaskFate::cancelled:
      return "job cancelled";
    case TaskFate::count:
      break;
  }
  return "unknown";
}

void LateStartCopies::record(const std::string& machine, const std::string& body, const std::string& sender,
                             const std::string& shard) {
  auto starts = starts_in(body);
  if (starts.empty()) return;
  std::deque<Copy>& of_machine = copies_[machine];
  of_machine.push_back({body, sender, shard, std::move(starts), {}});
  if (of_machine.size() > kCopiesPerMachine) of_machine.pop_front();
}

void LateStartCopies::on_controller_returned(const std::string& host) {
  for (auto& [machine, copies] : copies_)
    for (Copy& copy : copies)
      if (host.empty() || copy.sender == host)
        copy.came_back.at(static_cast<std::size_t>(Comeback::controller)) = true;
}

void LateStartCopies::on_leader_changed(const std::string& shard) {
  for (auto& [machine, copies] : copies_)
    for (Copy& copy : copies)
      if (copy.shard.empty() || copy.shard == shard)
        copy.came_back.at(static_cast<std::size_t>(Comeback::leader)) = true;
}

void LateStartCopies::on_machine_returned(const std::string& machine) {
  for (Copy& copy : copies_[machine]) copy.came_back.at(static_cast<std::size_t>(Comeback::machine)) = true;
}

void LateStartCopies::deliver(const FindWorker& find_worker, Micros now) {
  for (const auto& [machine, copies] : copies_) {
    SimulatedWorker* worker = find_worker(machine);
    if (worker == nullptr) continue;
    for (const Copy& copy : copies) deliver_to(*worker, machine, copy, now);
  }
}

void LateStartCopies::deliver_to(SimulatedWorker& worker, const std::string& machine, const Copy& copy,
                                 Micros now) {
  std::vector<bool> known;
  for (const auto& [task, attempt] : copy.starts) {
    known.push_back(worker.knows(task, attempt));
    const AttemptMemory memory = known.back() ? AttemptMemory::known : AttemptMemory::cleared;
    for (std::size_t i = 0; i < copy.came_back.size(); ++i)
      if (copy.came_back.at(i))
        ++delivered_.at(index(static_cast<Comeback>(i), memory, fate_of(task, machine)));
  }
  worker.handle_commands(copy.body, now);
  for (std::size_t i = 0; i < copy.starts.size(); ++i)
    if (!known[i] && worker.knows(copy.starts[i].first, copy.starts[i].second)) ++started_attempts_;
}

TaskFate LateStartCopies::fate_of(const TaskId& task, const std::string& machine) const {
  if (checker_.is_reported_cancelled(task.job)) return TaskFate::cancelled;
  return checker_.is_on_another_machine(task, machine) ? TaskFate::moved : TaskFate::unchanged;
}

std::string LateStartCopies::Situation::text() const {
  return std::string(to_text(comeback)) + ", " + to_text(memory) + ", " + to_text(fate);
}

std::vector<LateStartCopies::Situation> LateStartCopies::all_situations() {
  std::vector<Situation> all;
  for (std::size_t comeback = 0; comeback < static_cast<std::size_t>(Comeback::count); ++comeback)
    for (std::size_t memory = 0; memory < static_cast<std::size_t>(AttemptMemory::count); ++memory)
      for (std::size_t fate = 0; fate < static_cast<std::size_t>(TaskFate::count); ++fate)
        all.push_back({static_cast<Comeback>(comeback), static_cast<AttemptMemory>(memory),
                       static_cast<TaskFate>(fate)});
  return all;
}

std::vector<std::string> LateStartCopies::missing_situations() const {
  std::vector<std::string> missing;
  for (const Situation& situation : all_situations())
    if (delivered(situation.comeback, situation.memory, situation.fate) == 0)
      missing.push_back(situation.text());
  return missing;
}

std::vector<std::string> LateStartCopies::missing_pairs() const {
  std::map<std::string, std::size_t> of_pair;
  for (const auto& [comeback, memory, fate] : all_situations()) {
    const std::size_t count = delivered(comeback, memory, fate);
    of_pair[std::string(to_text(comeback)) + ", " + to_text(memory)] += count;
    of_pair[std::string(to_text(comeback)) + ", " + to_text(fate)] += count;
    of_pair[std::string(to_text(memory)) + ", " + to_text(fate)] += count;
  }
  std::vector<std::string> missing;
  for (const auto& [pair, count] : of_pair)
    if (count == 0) missing.push_back(pair);
  return missing;
}

std::string LateStartCopies::summary() const {
  std::string text;
  for (const Situation& situation : all_situations()) {
    if (!text.empty()) text += "; ";
    text += situation.text() + ": " +
            std::to_string(delivered(situation.comeback, situation.memory, situation.fate));
  }
  return text;
}

}  // namespace bendtide::sim
