#include "config/settings.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

#include "leadership/election.h"

namespace weirmill {
namespace {

const char* kSound = R"(
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

struct File {
    std::string path;
    explicit File(const std::string& text) {
        char name[] = "/tmp/weirmill-test-XXXXXX";
        int fd = mkstemp(name);
        path = name;
        std::ofstream(path) << text;
        close(fd);
    }
    ~File() { std::remove(path.c_str()); }
};

std::string error_of(const std::string& text) {
    try {
        load_settings(File(text).path);
        return "";
    } catch (const SettingsError& e) {
        return e.what();
    }
}

TEST(Settings, ReadsThePlatformsFile) {
    auto s = load_settings(File(kSound).path);
    EXPECT_EQ(s.name, "millstone-0");
    EXPECT_EQ(s.peers.at(0).addr.port, 8081);
    EXPECT_EQ(s.teams.at(0).cpus_max, 136);
    EXPECT_EQ(s.txn_ops, 24);
}

TEST(Settings, KeepTheTighterOfWhatHoldsAndWhatIsAnnounced) {
    struct Row {
        const char* next;
        double rps, write_rps, value_kb;
        int txn_ops;
        const char* error;  // named field
    };
    const Row rows[] = {
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
    for (auto& row : rows) {
        std::string text = kSound, next = row.next;
        if (next.starts_with("[deployment.state]\n"))
            text.insert(text.find("[deployment.cloud]"), next.substr(next.find('\n') + 1));
        else
            text += next;
        if (row.error) {
            EXPECT_NE(error_of(text).find(row.error), std::string::npos)
                << row.next << error_of(text);
            continue;
        }
        auto s = load_settings(File(text).path);
        EXPECT_EQ(s.state_rps, row.rps) << row.next;
        EXPECT_EQ(s.state_write_rps, row.write_rps) << row.next;
        EXPECT_EQ(s.value_kb, row.value_kb) << row.next;
        EXPECT_EQ(s.txn_ops, row.txn_ops) << row.next;
    }
}

TEST(Settings, WhatIsServedAlthoughItLooksOdd) {
    struct Row {
        const char *from, *to;
        double cpus, gpus, gpus_max;
    };
    const Row rows[] = {
        {"cpus = 64.0\ncpus_max = 136.0\n", "", 0, 4, 12},  // a figure that is missing is none
        {"gpus = 4.0\ngpus_max = 12.0\n", "", 64, 0, 0},
        {"gpus_max = 12.0", "gpus_max = 2.0", 64, 4,
         2},  // a limit below its guarantee: the tables cut that
        {"clock_off_ms = 100.0", "clock_off_ms = 100.0\ninitial_size = 7", 64, 4, 12},
        {"zones = [\"a\", \"b\"]", "zones = [\"a\", \"b\", \"nobody-here\"]", 64, 4, 12},
    };
    for (auto& row : rows) {
        std::string text = kSound;
        auto at = text.find(row.from);
        ASSERT_NE(at, std::string::npos) << row.from;
        text.replace(at, std::string(row.from).size(), row.to);
        ASSERT_EQ(error_of(text), "") << row.to;
        auto s = load_settings(File(text).path);
        EXPECT_EQ(s.teams.at(0).cpus, row.cpus) << row.to;
        EXPECT_EQ(s.teams.at(0).gpus, row.gpus) << row.to;
        EXPECT_EQ(s.teams.at(0).gpus_max, row.gpus_max) << row.to;
    }
}

TEST(Settings, NamesWhatIsWrong) {
    struct Row {
        const char *from, *to, *named;
    };
    const Row rows[] = {
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
    for (auto& row : rows) {
        std::string text = kSound;
        text.replace(text.find(row.from), std::string(row.from).size(), row.to);
        auto error = error_of(text);
        EXPECT_NE(error, "") << row.to;
        EXPECT_NE(error.find(row.named), std::string::npos) << error;
    }
    EXPECT_THROW(load_settings("/nonexistent.toml"), SettingsError);
}

TEST(Settings, WhereNoGraceIsPossibleThereIsNoneAndOneLineSaysSo) {
    // Refused at start before: a site whose workers' lease outlasts its time for cancellations was
    // not served at all.
    struct Row {
        const char* cancel_s;
        bool grace;
    };
    for (auto& row : {Row{"38.0", true}, Row{"22.9", true}, Row{"22.0", false}, Row{"18.0", false},
                      Row{"10.0", false}}) {
        std::string text = kSound;
        text.replace(text.find("cancel_s = 38.0"), 15, std::string("cancel_s = ") + row.cancel_s);
        ASSERT_EQ(error_of(text), "") << row.cancel_s;
        auto s = load_settings(File(text).path);
        EXPECT_EQ(leader_grace_period(s) > 0, row.grace) << row.cancel_s;
        auto warning = grace_period_warning(s);
        EXPECT_EQ(warning.empty(), row.grace) << warning;
        for (const char* field : {"workers.cancel_s", "workers.lease_s", "workers.report_s"})
            EXPECT_EQ(warning.find(field) == std::string::npos, row.grace) << warning;
        EXPECT_EQ(warning.find('\n'), std::string::npos);
    }
}

TEST(Properties, HaveDefaultsAndRanges) {
    EXPECT_EQ(load_properties(File("# nothing set\n").path).preemption_round_s, 10.0);
    EXPECT_FALSE(load_properties(File("# nothing set\n").path).standby_enabled);
    EXPECT_TRUE(load_properties(File("doors.enabled = true\n").path).standby_enabled);
    EXPECT_EQ(load_properties(File("preemption.round_s = 4.5\n").path).preemption_round_s, 4.5);
    for (const char* bad : {"preemption.round_s = 0\n", "preemption.round_s = often\n",
                            "election.lease_s: 1000\n", "doors.enabled = perhaps\n"})
        EXPECT_THROW(load_properties(File(bad).path), SettingsError) << bad;
    EXPECT_THROW(load_properties("/nonexistent.properties"), SettingsError);
}

}  // namespace
}  // namespace weirmill
