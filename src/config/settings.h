// The platform's settings file (TOML) and the operators' own properties, both checked at start.
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace weirmill {

struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Endpoint {
    std::string host;
    uint16_t port = 0;
    static Endpoint parse(const std::string& text, const std::string& field);
    std::string text() const { return host + ":" + std::to_string(port); }
};

struct PeerSettings {
    std::string name;
    std::string zone;
    Endpoint addr;
};

struct TeamSettings {
    std::string name;
    double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // 0: none
};

struct Objective {
    std::string kind, job_class;
    double within_s = 0, share = 0, times = 0;
};

struct Settings {
    std::string name, zone;
    Endpoint api, peer;
    std::vector<PeerSettings> peers;
    Endpoint cloud, state;
    std::vector<std::string> zones;
    double clock_off_ms = 0;
    std::vector<TeamSettings> teams;
    std::vector<Objective> objectives;
    double heartbeat_interval_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
    // What the state service allows: the tighter of what holds now and of what is announced for
    // later, as it may begin without notice.
    double state_rps = 0, state_write_rps = 0, value_kb = 0;
    int txn_ops = 0;
    double cloud_rps = 0, list_lag_s = 0;
    double cpu_share = 0, mem_mb = 0;
    int max_sockets = 0;
    // Not in the file: the protocol's ("Workers": how long one waits for an answer, and then before
    // it tries the next controller) and this service's own (between pings of a peer). Tests run on
    // shorter ones.
    double worker_patience_s = 4, worker_next_s = 1, ping_s = 1;
};

// Operators' own settings: every one has a default and a range (docs/operations.md).
struct Properties {
    double election_lease_s = 2.5;
    double preemption_round_s = 10.0;
    double idle_keep_boots = 0.3;
    double scheduling_pause_s = 0.1;
    double quarantine_s = 120.0;
    bool standby_enabled = false;
    bool membership_enabled = false;
    bool overload_enabled = false;
    double start_deadline_s = 240.0;  // with overload_enabled; 0: no bound
};

Settings load_settings(const std::string& path);
Properties load_properties(const std::string& path);

}  // namespace weirmill
