// The two files that a controller reads at its start, both checked then: the platform's settings
// (TOML) and the operators' own properties (docs/operations.md).
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace weirmill {

// A file that can't be read, or a field that is missing or out of range; the text names the field.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Endpoint {
    std::string host;  // an IP address
    uint16_t port = 0;
    // Reads ADDRESS:PORT; throws SettingsError that names `field`.
    static Endpoint parse(const std::string& text, const std::string& field);
    [[nodiscard]] std::string text() const { return host + ":" + std::to_string(port); }
};

// Another controller.
struct PeerSettings {
    std::string name;
    std::string zone;
    Endpoint addr;
};

// A team's guarantee, and the limit on all that it uses at a time. 0: none.
struct TeamSettings {
    std::string name;
    double cpus = 0, cpus_max = 0;
    double gpus = 0, gpus_max = 0;
};

// A service-level objective as the file states it; what the figures mean depends on the kind.
struct Objective {
    std::string kind;
    std::string job_class;  // empty: of all classes
    double within_s = 0;
    double share = 0;  // of the jobs, 0 to 1
    double times = 0;  // of a job's own deadline
};

// The platform's settings file.
struct Settings {
    std::string name;  // of this controller
    std::string zone;  // that it runs in
    Endpoint api;      // for users and workers
    Endpoint peer;     // for other controllers
    std::vector<PeerSettings> peers;
    Endpoint cloud;
    Endpoint state;                  // the key-value store
    std::vector<std::string> zones;  // where machines may be
    double clock_off_ms = 0;         // how far a host's time of day may be off
    std::vector<TeamSettings> teams;
    std::vector<Objective> objectives;
    // Of workers.
    double heartbeat_interval_s = 0;
    double lease_s = 0;      // a worker that gets no answer for so long ends its tasks
    double gang_wait_s = 0;  // how long a gang's task waits for the others before it gives up
    double gang_peer_s = 0;  // within which a gang's tasks notice that one of them is gone
    double cancel_s = 0;     // within which all tasks of a cancelled job have to be gone
    // What the key-value store allows: the tighter of what holds now and of what is announced for
    // later, as that may begin without notice.
    double state_rps = 0;        // requests in a second
    double state_write_rps = 0;  // of them, writes
    double value_kb = 0;         // of one value
    int txn_ops = 0;             // operations of one transaction
    // The cloud's interface.
    double cloud_rps = 0;   // requests in a second
    double list_lag_s = 0;  // how old its list of machines may be
    // What this controller may use.
    double cpu_share = 0;  // of one core
    double mem_mb = 0;     // 10^6 bytes
    int max_sockets = 0;
    // Not in the file. The first two are the protocol's ("Workers"), the third is this service's
    // own; tests run on shorter ones.
    double worker_patience_s = 4;  // how long a worker waits for an answer
    double worker_next_s = 1;      // and then before it tries the next controller
    double ping_s = 1;             // between pings of a peer
};

// Operators' own settings: every one has a default and a range (docs/operations.md).
struct Properties {
    double election_lease_s = 2.5;     // lease on leadership
    double preemption_round_s = 10.0;  // between rounds of preemption
    double idle_keep_boots = 0.3;      // how long an idle machine is kept, in boot times
    double scheduling_pause_s = 0.1;   // between passes of the scheduler
    double quarantine_s = 120.0;       // of a machine on which tasks failed
    bool standby_enabled = false;      // a standby accepts requests while there is no leader
    bool membership_enabled = false;   // controllers exchange the state of their links
    bool overload_enabled = false;     // work is put off under overload
    double start_deadline_s = 240.0;   // with overload_enabled; 0: no bound
};

// Both throw SettingsError.
Settings load_settings(const std::string& path);
Properties load_properties(const std::string& path);

}  // namespace weirmill
