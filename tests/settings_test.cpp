#include "config/settings.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

#include "leadership/election.h"

namespace weirmill {
namespace {

const char* kValidSettings = R"(
host_name = "millstone-0"
site = "a"
api_addr = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
something_new = 3
[[seeds]]
host_name = "millstone-1"
site = "b"
addr = "10.0.0.2:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
zones = ["a", "b"]
clock_off_ms = 100.0
[[deployment.teams]]
name = "red"
cpus = 64.0
cpus_max = 136.0
gpus = 4.0
gpus_max = 12.0
[deployment.workers]
report_s = 2.5
lease_s = 18.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 38.0
[deployment.state]
rps = 120.0
write_rps = 40.0
value_kb = 32.0
txn_ops = 24
[deployment.cloud]
rps = 8.0
list_lag_s = 5.0
[deployment.resources]
cpu = 0.12
mem_mb = 56.0
max_sockets = 1500
)";

// A file with this text, deleted with the object.
struct TemporaryFile {
    std::string path;
    explicit TemporaryFile(const std::string& text) {
        char name[] = "/tmp/weirmill-test-XXXXXX";
        int fd = mkstemp(name);
        path = name;
        std::ofstream(path) << text;
        close(fd);
    }
    ~TemporaryFile() { std::remove(path.c_str()); }
};

// Returns the error message of load_settings; empty: it succeeds.
std::string load_error(const std::string& text) {
    try {
        load_settings(TemporaryFile(text).path);
        return "";
    } catch (const SettingsError& e) {
        return e.what();
    }
}

TEST(Settings, ParsesValidFile) {
    auto settings = load_settings(TemporaryFile(kValidSettings).path);
    EXPECT_EQ(settings.name, "millstone-0");
    EXPECT_EQ(settings.peers.at(0).addr.port, 8081);
    EXPECT_EQ(settings.teams.at(0).cpus_max, 136);
    EXPECT_EQ(settings.txn_ops, 24);
}

TEST(Settings, AppliesStricterOfCurrentAndAnnouncedLimits) {
    struct Case {
        const char* next;
        double rps, write_rps, value_kb;
        int txn_ops;
        const char* error;  // text that the message must contain; null: no error
    };
    const Case cases[] = {
        {"", 120, 40, 32, 24, nullptr},
        {"[deployment.state.next]\n", 120, 40, 32, 24, nullptr},
        {"[deployment.state.next]\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 8\n", 120, 28, 2, 8,
         nullptr},
        {"[deployment.state.next]\nwrite_rps = 80.0\nvalue_kb = 64.0\nrps = 90\n", 90, 40, 32, 24,
         nullptr},
        {"[deployment.state.next]\nsomething_new = 1\n", 120, 40, 32, 24, nullptr},
        {"[deployment.state.next]\nvalue_kb = \"2\"\n", 0, 0, 0, 0,
         "deployment.state.next.value_kb"},
        {"[deployment.state.next]\ntxn_ops = 0\n", 0, 0, 0, 0, "deployment.state.next.txn_ops"},
        {"[deployment.state.next]\nwrite_rps = -3.0\n", 0, 0, 0, 0,
         "deployment.state.next.write_rps"},
        {"[deployment.state]\nnext = 3\n", 0, 0, 0, 0, "deployment.state.next must be a table"},
    };
    for (auto& test_case : cases) {
        std::string text = kValidSettings, next = test_case.next;
        if (next.starts_with("[deployment.state]\n"))
            text.insert(text.find("[deployment.cloud]"), next.substr(next.find('\n') + 1));
        else
            text += next;
        if (test_case.error) {
            EXPECT_NE(load_error(text).find(test_case.error), std::string::npos)
                << test_case.next << load_error(text);
            continue;
        }
        auto settings = load_settings(TemporaryFile(text).path);
        EXPECT_EQ(settings.state_rps, test_case.rps) << test_case.next;
        EXPECT_EQ(settings.state_write_rps, test_case.write_rps) << test_case.next;
        EXPECT_EQ(settings.value_kb, test_case.value_kb) << test_case.next;
        EXPECT_EQ(settings.txn_ops, test_case.txn_ops) << test_case.next;
    }
}

TEST(Settings, AcceptsUnusualValues) {
    struct Case {
        const char *from, *to;
        double cpus, gpus, gpus_max;
    };
    const Case cases[] = {
        {"cpus = 64.0\ncpus_max = 136.0\n", "", 0, 4, 12},  // missing values count as 0
        {"gpus = 4.0\ngpus_max = 12.0\n", "", 64, 0, 0},
        {"gpus_max = 12.0", "gpus_max = 2.0", 64, 4,
         2},  // a limit below the guarantee; the cluster state cuts the guarantee
        {"clock_off_ms = 100.0", "clock_off_ms = 100.0\ninitial_size = 7", 64, 4, 12},
        {"zones = [\"a\", \"b\"]", "zones = [\"a\", \"b\", \"unused-zone\"]", 64, 4, 12},
    };
    for (auto& test_case : cases) {
        std::string text = kValidSettings;
        auto at = text.find(test_case.from);
        ASSERT_NE(at, std::string::npos) << test_case.from;
        text.replace(at, std::string(test_case.from).size(), test_case.to);
        ASSERT_EQ(load_error(text), "") << test_case.to;
        auto settings = load_settings(TemporaryFile(text).path);
        EXPECT_EQ(settings.teams.at(0).cpus, test_case.cpus) << test_case.to;
        EXPECT_EQ(settings.teams.at(0).gpus, test_case.gpus) << test_case.to;
        EXPECT_EQ(settings.teams.at(0).gpus_max, test_case.gpus_max) << test_case.to;
    }
}

TEST(Settings, ErrorNamesInvalidField) {
    struct Case {
        const char *from, *to, *named_field;
    };
    const Case cases[] = {
        {"host_name = \"millstone-0\"", "", "host_name"},
        {"10.0.0.1:8080", "10.0.0.1", "api_addr"},
        {"10.2.0.1:2379", "10.2.0.1:99999", "external.state"},
        {"lease_s = 18.0", "lease_s = \"long\"", "deployment.workers.lease_s"},
        {"lease_s = 18.0", "lease_s = -1.0", "deployment.workers.lease_s"},
        {"cancel_s = 38.0", "cancel_s = -10.0", "deployment.workers.cancel_s"},
        {"cancel_s = 38.0", "cancel_s = inf", "deployment.workers.cancel_s"},
        {"zones = [\"a\", \"b\"]", "zones = []", "deployment.zones"},
        {"cpus_max = 136.0", "cpus_max = nan", "cpus_max"},
        {"gpus = 4.0", "gpus = -4.0", "teams[0].gpus"},
        {"gpus = 4.0", "gpus = inf", "teams[0].gpus"},
        {"cpus = 64.0", "cpus = \"many\"", "teams[0].cpus"},
        {"host_name = \"millstone-1\"", "host_name = \"millstone-0\"", "seeds[0].host_name"},
        {"mem_mb = 56.0", "", "deployment.resources.mem_mb"},
        {"[external]", "[external", ""},
    };
    for (auto& test_case : cases) {
        std::string text = kValidSettings;
        text.replace(text.find(test_case.from), std::string(test_case.from).size(), test_case.to);
        auto error = load_error(text);
        EXPECT_NE(error, "") << test_case.to;
        EXPECT_NE(error.find(test_case.named_field), std::string::npos) << error;
    }
    EXPECT_THROW(load_settings("/nonexistent.toml"), SettingsError);
}

TEST(Settings, WarnsIfCancelTimeLeavesNoAnsweringGrace) {
    // Such settings were once rejected at startup, so that a deployment whose worker lease is
    // longer than its cancellation deadline had no service at all.
    struct Case {
        const char* cancel_s;
        bool grace;
    };
    for (auto& test_case : {Case{"38.0", true}, Case{"22.9", true}, Case{"22.0", false},
                            Case{"18.0", false}, Case{"10.0", false}}) {
        std::string text = kValidSettings;
        text.replace(text.find("cancel_s = 38.0"), 15,
                     std::string("cancel_s = ") + test_case.cancel_s);
        ASSERT_EQ(load_error(text), "") << test_case.cancel_s;
        auto settings = load_settings(TemporaryFile(text).path);
        EXPECT_EQ(leader_grace_period(settings) > 0, test_case.grace) << test_case.cancel_s;
        auto warning = grace_period_warning(settings);
        EXPECT_EQ(warning.empty(), test_case.grace) << warning;
        for (const char* field : {"workers.cancel_s", "workers.lease_s", "workers.report_s"})
            EXPECT_EQ(warning.find(field) == std::string::npos, test_case.grace) << warning;
        EXPECT_EQ(warning.find('\n'), std::string::npos);
    }
}

TEST(Properties, HasDefaultsAndRejectsInvalidValues) {
    EXPECT_EQ(load_properties(TemporaryFile("# nothing set\n").path).preemption_round_s, 10.0);
    EXPECT_FALSE(load_properties(TemporaryFile("# nothing set\n").path).standby_enabled);
    EXPECT_TRUE(load_properties(TemporaryFile("doors.enabled = true\n").path).standby_enabled);
    EXPECT_EQ(load_properties(TemporaryFile("preemption.round_s = 4.5\n").path).preemption_round_s,
              4.5);
    for (const char* invalid : {"preemption.round_s = 0\n", "preemption.round_s = often\n",
                                "election.lease_s: 1000\n", "doors.enabled = perhaps\n"})
        EXPECT_THROW(load_properties(TemporaryFile(invalid).path), SettingsError) << invalid;
    EXPECT_THROW(load_properties("/nonexistent.properties"), SettingsError);
}

}  // namespace
}  // namespace weirmill
