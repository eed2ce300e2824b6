// The two configuration files that a controller reads and validates at startup: the platform's
// settings (TOML) and the operators' properties (docs/operations.md).
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace weirmill {

// A file that can't be read, or a field that is missing or out of range. The message names the
// field.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A TCP address.
struct Endpoint {
    std::string host;  // an IP address
    uint16_t port = 0;
    // Parses ADDRESS:PORT; throws SettingsError that names `field`.
    static Endpoint parse(const std::string& text, const std::string& field);
    [[nodiscard]] std::string text() const { return host + ":" + std::to_string(port); }
};

// Another controller.
struct PeerSettings {
    std::string name;
    std::string zone;
    Endpoint addr;
};

// A team's guaranteed resources, and the limit on the resources that it uses at a time. 0: none.
struct TeamSettings {
    std::string name;
    double cpus = 0, cpus_max = 0;
    double gpus = 0, gpus_max = 0;
};

// A service-level objective of the settings file. The kind determines which values apply.
struct Objective {
    std::string kind;
    std::string job_class;  // empty: all classes
    double within_s = 0;
    double share = 0;  // of the jobs that must meet the objective, 0 to 1
    double times = 0;  // factor applied to a job's own deadline
};

// The platform's settings file.
struct Settings {
    std::string name;  // name of this controller
    std::string zone;  // zone that this controller runs in
    Endpoint api;      // address for users and workers
    Endpoint peer;     // address for other controllers
    std::vector<PeerSettings> peers;
    Endpoint cloud;
    Endpoint state;                  // the key-value store
    std::vector<std::string> zones;  // zones in which machines may run
    double clock_off_ms = 0;         // maximum error of a host's wall clock
    std::vector<TeamSettings> teams;
    std::vector<Objective> objectives;
    // Workers.
    double heartbeat_interval_s = 0;
    double lease_s = 0;      // a worker ends its tasks after this time without a response
    double gang_wait_s = 0;  // how long a task of a gang waits for the others before it exits
    double gang_peer_s = 0;  // time within which a gang's tasks detect the loss of one of them
    double cancel_s = 0;     // time within which all tasks of a cancelled job must have ended
    // Limits of the key-value store. Each is the stricter of the current limit and the announced
    // one, because an announced limit may take effect without notice.
    double state_rps = 0;        // requests per second
    double state_write_rps = 0;  // write requests per second
    double value_kb = 0;         // size of one value
    int txn_ops = 0;             // operations per transaction
    // Limits of the cloud API.
    double cloud_rps = 0;   // requests per second
    double list_lag_s = 0;  // maximum age of its machine list
    // Resources assigned to this controller.
    double cpu_share = 0;  // share of one core
    double mem_mb = 0;     // units of 10^6 bytes
    int max_sockets = 0;
    // Not in the settings file. The protocol between workers and controllers fixes the first two;
    // the third is this service's choice. Tests use shorter values.
    double worker_response_timeout_s = 4;  // how long a worker waits for a response
    double worker_failover_delay_s =
        1;                       // delay before a worker tries the next controller after that
    double ping_interval_s = 1;  // time between pings of a peer
};

// The operators' settings. Each has a default and a valid range (docs/operations.md).
struct Properties {
    double election_lease_s = 2.5;     // duration of the lease on leadership
    double preemption_round_s = 10.0;  // time between preemption rounds
    double idle_keep_boots =
        0.3;  // how long an idle machine is kept, as a multiple of its boot time
    double scheduling_pause_s = 0.1;  // time between scheduling passes
    double quarantine_s = 120.0;      // how long a machine on which tasks failed gets no new tasks
    bool standby_enabled = false;  // standby controllers accept requests while there is no leader
    bool membership_enabled = false;  // controllers exchange the status of their links
    bool overload_enabled = false;    // work is deferred under overload
    double start_deadline_s = 240.0;  // bound on a job's start, if overload_enabled; 0: none
};

// Both throw SettingsError.
Settings load_settings(const std::string& path);
Properties load_properties(const std::string& path);

}  // namespace weirmill
