#include "app/config.h"

#include <toml++/toml.h>

#include <cmath>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

#include "app/config_section.h"

namespace bendtide {

namespace {

/// Converts to thousandths, rounding down. The small offset makes up for decimal fractions that have no exact
/// binary representation, so that 1.001 becomes 1001 and not 1000.
std::int64_t to_thousandths(double amount) {
  return static_cast<std::int64_t>(std::floor(amount * 1000.0 + 1e-6));
}

std::optional<Objective::Kind> parse_objective_kind(const std::string& name) {
  if (name == "wait") return Objective::Kind::wait;
  if (name == "finished") return Objective::Kind::finished;
  if (name == "deadline") return Objective::Kind::deadline;
  if (name == "guarantee") return Objective::Kind::guarantee;
  return std::nullopt;
}

/// Returns the objective, or none if this version does not support it: its kind is unknown, or the fields
/// that its kind requires are missing.
std::optional<Objective> supported_objective(const ConfigSection& section) {
  const std::optional<Objective::Kind> kind = parse_objective_kind(section.string("kind"));
  if (!kind) return std::nullopt;
  const bool has_class = *kind != Objective::Kind::guarantee;
  const char* bound_key = *kind == Objective::Kind::deadline ? "times" : "within_s";
  if (!section.has(bound_key) || (has_class && !section.has("class"))) return std::nullopt;
  Objective objective;
  objective.kind = *kind;
  if (has_class) objective.job_class = section.string("class");
  const double bound = section.positive_number(bound_key);
  if (*kind == Objective::Kind::deadline)
    objective.times = bound;
  else
    objective.within = seconds(bound);
  return objective;
}

/// Reads the settings section by section and stops at the first invalid key, which the ConfigError names.
class SettingsReader {
 public:
  Settings read(const ConfigSection& top) {
    read_addresses(top);
    const ConfigSection settings = top.section("settings");
    settings_.zones = settings.string_list("zones");
    read_teams(settings);
    settings.for_each_table("objectives", [&](const ConfigSection& objective) { read_objective(objective); });
    read_workers(settings.section("workers"));
    read_store(settings.section("state"));
    read_cloud(settings.section("cloud"));
    settings_.sockets =
        static_cast<std::size_t>(settings.section("machine_limits").number("sockets", 32, 1e7));
    return std::move(settings_);
  }

 private:
  void read_addresses(const ConfigSection& top) {
    settings_.host = top.string("host_name");
    settings_.zone = top.string("domain");
    settings_.api_address = top.address("api_addr");
    settings_.internal_address = top.address("internal_addr");
    std::set<std::string> hosts{settings_.host};
    top.for_each_table("known", [&](const ConfigSection& section) {
      Peer peer{section.string("host_name"), section.string("domain"), section.address("endpoint")};
      if (!hosts.insert(peer.host).second) section.fail("host_name", "duplicate host name");
      check_host_name(section, peer.host);
      settings_.peers.push_back(std::move(peer));
    });
    check_host_name(top, settings_.host);
    const ConfigSection external = top.section("external");
    settings_.cloud_address = external.address("cloud");
    settings_.store_address = external.address("state");
  }

  /// Rejects host names with a slash: they become components of keys in the key-value store, which a slash
  /// separates.
  static void check_host_name(const ConfigSection& section, const std::string& host) {
    if (host.find('/') != std::string::npos) section.fail("host_name", "must not contain '/'");
  }

  void read_teams(const ConfigSection& settings) {
    settings.for_each_table("teams", [&](const ConfigSection& section) {
      Team team;
      team.name = section.string("name");
      if (settings_.team(team.name) != nullptr) section.fail("name", "duplicate team name");
      team.guarantee.cpu = to_thousandths(section.non_negative_or_zero("cpus"));
      team.guarantee.gpu = to_thousandths(section.non_negative_or_zero("gpus"));
      team.limit.cpu = to_thousandths(section.non_negative_or_zero("cpus_max"));
      team.limit.gpu = to_thousandths(section.non_negative_or_zero("gpus_max"));
      // A limit of 0 CPUs and 0 GPUs, or none given, means unlimited. A team without a guarantee and without
      // a limit may use all free capacity.
      if (team.limit == Quota{}) team.limit = kNoLimit;
      settings_.teams.push_back(std::move(team));
    });
    if (settings_.teams.empty()) settings.fail("teams", "missing");
  }

  void read_objective(const ConfigSection& section) {
    if (const auto objective = supported_objective(section))
      settings_.objectives.push_back(*objective);
    else
      settings_.ignored_objectives.insert(section.string("kind"));
  }

  void read_workers(const ConfigSection& section) {
    settings_.heartbeat_interval = seconds(section.positive_number("report_s"));
    settings_.worker_lease = seconds(section.positive_number("lease_s"));
    settings_.cancel_within = seconds(section.positive_number("cancel_s"));
    if (settings_.worker_lease < settings_.heartbeat_interval)
      section.fail("lease_s", "must not be below report_s");
    if (settings_.cancel_within <= settings_.worker_lease + seconds(2))
      section.fail("cancel_s", "must exceed lease_s by more than 2 s");
    if (settings_.max_cancellation_time() > settings_.cancel_within)
      section.fail("cancel_s", "too short to stop a cancelled task in time; must be well above lease_s");
  }

  void read_store(const ConfigSection& section) {
    settings_.store_requests_per_s = section.positive_number("rps");
    settings_.store_writes_per_s = section.positive_number("write_rps");
    settings_.store_value_bytes = static_cast<std::size_t>(section.number("value_kb", 1, 1e6) * 1024);
    settings_.store_transaction_writes = static_cast<std::size_t>(section.number("txn_ops", 4, 1e6));
  }

  void read_cloud(const ConfigSection& section) {
    settings_.cloud_calls_per_s = section.positive_number("rps");
    settings_.cloud_list_lag = seconds(section.number("list_lag_s", 0, 3600));
  }

  Settings settings_;
};

}  // namespace

Settings parse_settings(const std::string& text) {
  try {
    const toml::table table = toml::parse(text);
    return SettingsReader().read(ConfigSection(table, ""));
  } catch (const toml::parse_error& error) {
    std::ostringstream problem;
    problem << "line " << error.source().begin.line << ": " << error.description();
    throw ConfigError("", problem.str());
  }
}

Settings load_settings(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw ConfigError("", "file cannot be read");
  return parse_settings(text.str());
}

}  // namespace bendtide
