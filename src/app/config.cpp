#include "app/config.h"

#include <toml++/toml.h>

#include <cmath>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

namespace bendtide {

namespace {

/// One table of the file, with the path that error messages name.
class Section {
 public:
  Section(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

  std::string text(const char* field) const {
    auto v = table_[field].value<std::string>();
    if (!v) fail(field, table_.contains(field) ? "must be a string" : "missing");
    if (v->empty()) fail(field, "is empty");
    return *v;
  }
  std::string address(const char* field) const {
    std::string v = text(field);
    const auto colon = v.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == v.size() ||
        v.find_first_not_of("0123456789", colon + 1) != std::string::npos)
      fail(field, "must be HOST:PORT");
    return v;
  }
  double number(const char* field, double low, double high) const {
    auto v = table_[field].value<double>();
    if (!v) fail(field, table_.contains(field) ? "must be a number" : "missing");
    if (!std::isfinite(*v) || *v < low || *v > high) fail(field, "out of range");
    return *v;
  }
  bool has(const char* field) const { return table_.contains(field); }
  double positive(const char* field) const { return number(field, 1e-6, 1e9); }
  double amount_or_zero(const char* field) const {
    return table_.contains(field) ? number(field, 0, 1e9) : 0.0;
  }
  Section section(const char* field) const {
    const toml::table* t = table_[field].as_table();
    if (t == nullptr) fail(field, table_.contains(field) ? "must be a table" : "missing");
    return Section(*t, path_ + field + ".");
  }
  /// Each table of a list of tables; none if the field is missing.
  template <class F>
  void each(const char* field, F&& f) const {
    if (!table_.contains(field)) return;
    const toml::array* list = table_[field].as_array();
    if (list == nullptr) fail(field, "must be a list of tables");
    std::size_t index = 0;
    for (const toml::node& node : *list) {
      const std::string path = path_ + field + "[" + std::to_string(index++) + "].";
      if (!node.is_table()) throw ConfigError(path + ": must be a table");
      f(Section(*node.as_table(), path));
    }
  }
  std::vector<std::string> names(const char* field) const {
    const toml::array* list = table_[field].as_array();
    if (list == nullptr) fail(field, table_.contains(field) ? "must be a list" : "missing");
    std::vector<std::string> out;
    for (const toml::node& node : *list) {
      auto v = node.value<std::string>();
      if (!v) fail(field, "must be a list of strings");
      out.push_back(*v);
    }
    return out;
  }
  [[noreturn]] void fail(const std::string& field, const std::string& what) const {
    throw ConfigError(path_ + field + ": " + what);
  }

 private:
  const toml::table& table_;
  std::string path_;
};

std::int64_t thousandths(double d) { return static_cast<std::int64_t>(std::floor(d * 1000.0 + 1e-6)); }

std::optional<Objective::Kind> objective_kind(const std::string& word) {
  if (word == "wait") return Objective::Kind::wait;
  if (word == "finished") return Objective::Kind::finished;
  if (word == "deadline") return Objective::Kind::deadline;
  if (word == "guarantee") return Objective::Kind::guarantee;
  return std::nullopt;
}

/// None for an objective that has no effect here: its kind is new or decides on nothing, or it comes with
/// other fields and so is meant otherwise.
std::optional<Objective> supported_objective(const Section& section) {
  const std::optional<Objective::Kind> kind = objective_kind(section.text("kind"));
  if (!kind) return std::nullopt;
  const bool of_class = *kind != Objective::Kind::guarantee;
  const char* measure = *kind == Objective::Kind::deadline ? "times" : "within_s";
  if (!section.has(measure) || (of_class && !section.has("class"))) return std::nullopt;
  Objective objective;
  objective.kind = *kind;
  if (of_class) objective.job_class = section.text("class");
  const double amount = section.positive(measure);
  if (*kind == Objective::Kind::deadline)
    objective.times = amount;
  else
    objective.within = seconds(amount);
  return objective;
}

Settings read(const Section& top) {
  Settings s;
  s.host = top.text("host_name");
  s.zone = top.text("domain");
  s.api_address = top.address("api_addr");
  s.internal_address = top.address("internal_addr");
  std::set<std::string> hosts{s.host};
  top.each("known", [&](const Section& peer) {
    Peer p{peer.text("host_name"), peer.text("domain"), peer.address("endpoint")};
    if (!hosts.insert(p.host).second) peer.fail("host_name", "named twice");
    if (p.host.find('/') != std::string::npos) peer.fail("host_name", "must not contain '/'");
    s.peers.push_back(std::move(p));
  });
  if (s.host.find('/') != std::string::npos) top.fail("host_name", "must not contain '/'");
  const Section external = top.section("external");
  s.cloud_address = external.address("cloud");
  s.store_address = external.address("state");

  const Section settings = top.section("settings");
  s.zones = settings.names("zones");
  settings.each("teams", [&](const Section& team) {
    Team t;
    t.name = team.text("name");
    if (s.team(t.name) != nullptr) team.fail("name", "named twice");
    t.guarantee = {thousandths(team.amount_or_zero("cpus")), thousandths(team.amount_or_zero("gpus"))};
    t.limit = {thousandths(team.amount_or_zero("cpus_max")), thousandths(team.amount_or_zero("gpus_max"))};
    // "0 means none": a team with neither guarantee nor limit, a guest, may use all that is free.
    if (t.limit == Quota{}) t.limit = kNoLimit;
    s.teams.push_back(std::move(t));
  });
  if (s.teams.empty()) settings.fail("teams", "missing");
  settings.each("objectives", [&](const Section& objective) {
    if (auto supported = supported_objective(objective))
      s.objectives.push_back(std::move(*supported));
    else
      s.ignored_objectives.insert(objective.text("kind"));
  });
  const Section workers = settings.section("workers");
  s.heartbeat_interval = seconds(workers.positive("report_s"));
  s.worker_lease = seconds(workers.positive("lease_s"));
  s.cancel_within = seconds(workers.positive("cancel_s"));
  if (s.worker_lease < s.heartbeat_interval) workers.fail("lease_s", "must not be below report_s");
  if (s.cancel_within <= s.worker_lease + seconds(2)) workers.fail("cancel_s", "must be well above lease_s");
  if (s.cancelled_gone_within() > s.cancel_within)
    workers.fail("cancel_s", "a cancelled task could not be gone in time: must be well above lease_s");
  const Section state = settings.section("state");
  s.store_requests_per_s = state.positive("rps");
  s.store_writes_per_s = state.positive("write_rps");
  s.store_value_bytes = static_cast<std::size_t>(state.number("value_kb", 1, 1e6) * 1024);
  s.store_transaction_writes = static_cast<std::size_t>(state.number("txn_ops", 4, 1e6));
  const Section cloud = settings.section("cloud");
  s.cloud_calls_per_s = cloud.positive("rps");
  s.cloud_list_lag = seconds(cloud.number("list_lag_s", 0, 3600));
  s.sockets = static_cast<std::size_t>(settings.section("machine_limits").number("sockets", 32, 1e7));
  return s;
}

}  // namespace

Settings parse_settings(const std::string& text) {
  try {
    const toml::table table = toml::parse(text);
    return read(Section(table, ""));
  } catch (const toml::parse_error& e) {
    std::ostringstream where;
    where << "line " << e.source().begin.line << ": " << e.description();
    throw ConfigError(where.str());
  }
}

Settings load_settings(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw ConfigError("cannot be read");
  return parse_settings(text.str());
}

}  // namespace bendtide
