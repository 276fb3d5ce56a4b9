#include "app/config.h"

#include <gtest/gtest.h>

#include "core/model/policy.h"

namespace bendtide {
namespace {

const std::string kValidConfig = R"(
host_name = "a"
domain = "z"
api_addr = "127.0.0.1:1"
internal_addr = "127.0.0.1:2"
unknown = 1
[[known]]
host_name = "b"
domain = "z"
endpoint = "127.0.0.1:3"
[external]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[settings]
zones = ["z"]
[[settings.teams]]
name = "t"
cpus = 8.5
cpus_max = 16
[settings.workers]
report_s = 1.5
lease_s = 12.0
cancel_s = 42.0
[settings.state]
rps = 200
write_rps = 60
value_kb = 16
txn_ops = 12
[settings.cloud]
rps = 2
list_lag_s = 10
[settings.machine_limits]
sockets = 800
)";

TEST(Config, ParsesSettingsAndDerivesLeaseTerm) {
  const Settings s = parse_settings(kValidConfig);
  EXPECT_EQ(s.peers.size(), 1u);
  EXPECT_EQ(s.teams.at(0).guarantee.cpu, 8500);
  // Tasks of a cancelled job must be gone within the allowed time, even if the leader of the shard or the
  // worker is unreachable until its lease expires.
  EXPECT_LT(s.lease_term() + s.worker_lease + seconds(5), s.cancel_within);
}

// Guards against reading a team's limit of zero as a quota of nothing. A guest team has neither a guarantee
// nor a limit, and each of its jobs was rejected with status 422.
TEST(Config, TeamWithoutGuaranteeAndLimitIsUnlimited) {
  const Settings s =
      parse_settings(kValidConfig + "[[settings.teams]]\nname = \"guest\"\ncpus = 0.0\ncpus_max = 0.0\n" +
                     "[[settings.teams]]\nname = \"no cards\"\ncpus_max = 8.0\ngpus_max = 0.0\n");
  EXPECT_EQ(s.team("guest")->limit, kNoLimit);
  EXPECT_EQ(s.team("guest")->guarantee, Quota{});
  EXPECT_EQ(s.team("no cards")->limit, (Quota{8000, 0}));
}

TEST(Config, IgnoresUnknownObjectives) {
  std::string text = kValidConfig;
  for (const char* fields :
       {"kind = 'wait'\nclass = 'c'\nwithin_s = 60", "kind = 'finished'\nclass = 'c'\nwithin_s = 180",
        "kind = 'deadline'\nclass = 'c'\ntimes = 1.5", "kind = 'guarantee'\nwithin_s = 5",
        "kind = 'wait'\nwithin_s = 60", "kind = 'splendour'\nshare = 2", "kind = 'up'\nclass = 'c'"})
    text += std::string("[[settings.objectives]]\n") + fields + "\n";
  const Settings s = parse_settings(text);
  EXPECT_EQ(s.objectives.size(), 4u);
  EXPECT_EQ(s.objectives.at(1).within, seconds(180));
  EXPECT_EQ(s.ignored_objectives, (std::set<std::string>{"wait", "splendour", "up"}));
  try {
    static_cast<void>(
        parse_settings(text + "[[settings.objectives]]\nkind = 'wait'\nclass = 'c'\nwithin_s = -1\n"));
    ADD_FAILURE() << "a negative within_s was accepted";
  } catch (const ConfigError& e) {
    EXPECT_EQ(e.key(), "settings.objectives[7].within_s");
    EXPECT_STREQ(e.what(), "settings.objectives[7].within_s: out of range");
  }
}

// If the worker lease is long enough, the lease term of a shard is so short that the next leader takes over
// before the leases of the shard's workers expire.
TEST(Config, LeaseTermLeavesTimeForFailoverWithinWorkerLease) {
  Settings s;
  for (const auto& [lease, report, cancel, min_term, max_term] :
       {std::tuple(22.0, 4.0, 52.0, 9.0, 11.0), std::tuple(26.5, 5.0, 46.5, 12.0, 13.4),
        std::tuple(12.0, 1.5, 42.0, 5.5, 6.5)}) {
    s.worker_lease = seconds(lease);
    s.heartbeat_interval = seconds(report);
    s.cancel_within = seconds(cancel);
    EXPECT_GE(s.lease_term(), seconds(min_term)) << lease;
    EXPECT_LE(s.lease_term(), seconds(max_term)) << lease;
    EXPECT_LT(s.lease_term() + s.worker_lease + seconds(5), s.cancel_within) << lease;
  }
}

// Tests the bound in docs/DESIGN.md on the time until the tasks of a cancelled job are gone. Covers the
// settings of all known deployments, and settings just within and just beyond what is accepted.
TEST(Config, RejectsSettingsThatCannotBoundCancellationTime) {
  struct Case {
    double report, lease, cancel;
    bool accepted;
  };
  for (const Case& c : std::vector<Case>{{1.5, 12, 42, true},
                                         {3, 20, 40, true},
                                         {4, 20, 40, true},
                                         {4, 22, 52, true},
                                         {5, 26.5, 46.5, true},
                                         {1, 10, 12.1, true},
                                         {1, 10, 12, false},
                                         {1, 100, 102.1, false},
                                         {1, 100, 102.5, true},
                                         {5, 600, 603, false},
                                         {5, 600, 604, true},
                                         {5, 600, 6000, true}}) {
    std::string text = kValidConfig;
    auto set = [&](const std::string& from, const std::string& field, double value) {
      text.replace(text.find(from), from.size(), field + " = " + std::to_string(value));
    };
    set("report_s = 1.5", "report_s", c.report);
    set("lease_s = 12.0", "lease_s", c.lease);
    set("cancel_s = 42.0", "cancel_s", c.cancel);
    try {
      const Settings s = parse_settings(text);
      EXPECT_TRUE(c.accepted) << c.lease << " " << c.cancel;
      EXPECT_LE(s.max_cancellation_time(), s.cancel_within) << c.lease << " " << c.cancel;
      EXPECT_GE(s.max_cancellation_time(), s.lease_term() + s.worker_lease);
      EXPECT_GE(s.lease_term(), millis(100)) << "the shortest lease that the key-value store grants";
    } catch (const ConfigError& e) {
      EXPECT_FALSE(c.accepted) << e.what();
      EXPECT_TRUE(std::string(e.what()).starts_with("settings.workers.cancel_s")) << e.what();
    }
  }
}

TEST(Config, RejectsInvalidFileAndNamesField) {
  struct Case {
    const char* from;
    const char* to;
    const char* expected_field;  ///< the error text starts with it
  };
  const std::vector<Case> cases = {{"host_name = \"a\"", "", "host_name"},
                                   {"host_name = \"a\"", "host_name = 3", "host_name"},
                                   {"api_addr = \"127.0.0.1:1\"", "api_addr = \"here\"", "api_addr"},
                                   {"host_name = \"b\"", "host_name = \"a\"", "known[0].host_name"},
                                   {"[external]", "[elsewhere]", "external"},
                                   {"name = \"t\"", "name = \"\"", "settings.teams[0].name"},
                                   {"lease_s = 12.0", "lease_s = -1", "settings.workers.lease_s"},
                                   {"cancel_s = 42.0", "cancel_s = 12.5", "settings.workers.cancel_s"},
                                   {"rps = 200", "rps = nan", "settings.state.rps"},
                                   {"zones = [\"z\"]", "zones = [3]", "settings.zones"},
                                   {"sockets = 800", "sockets = 1", "settings.machine_limits.sockets"},
                                   {"domain = \"z\"", "domain =", "line"}};
  for (const Case& c : cases) {
    std::string text = kValidConfig;
    text.replace(text.find(c.from), std::string(c.from).size(), c.to);
    try {
      static_cast<void>(parse_settings(text));
      ADD_FAILURE() << "an invalid value was accepted: " << c.expected_field;
    } catch (const ConfigError& e) {
      EXPECT_TRUE(std::string(e.what()).starts_with(c.expected_field)) << e.what();
    }
  }
  EXPECT_THROW(static_cast<void>(load_settings("/nowhere/at/all.toml")), ConfigError);
}

TEST(Policy, AppliesAllChangesOrNone) {
  struct Case {
    Value fields;
    const char* rejected_field;  ///< null: the changes are valid
  };
  const std::vector<Case> cases = {{{{"idle_return_s", 30}, {"spot_machines", false}}, nullptr},
                                   {{{"idle_return_s", 30}, {"close_bids", 7}}, "close_bids"},
                                   {{{"idle_return_s", "30"}}, "idle_return_s"},
                                   {{{"call_rounds", 4}}, "call_rounds"},
                                   {{{"spot_machines", 1}}, "spot_machines"},
                                   {{{"nonsense", 1}}, "nonsense"},
                                   {Value::array(), "body"}};
  for (const Case& c : cases) {
    Policy policy;
    const auto error = policy.apply(c.fields);
    EXPECT_EQ(error.has_value(), c.rejected_field != nullptr) << c.fields;
    if (error) {
      EXPECT_EQ(error->field, c.rejected_field);
      EXPECT_EQ(error->text(), std::string(c.rejected_field) + ": " + error->problem);
      EXPECT_EQ(Policy::to_json(policy), Policy::to_json(Policy{}));
    }
  }
}

}  // namespace
}  // namespace bendtide
