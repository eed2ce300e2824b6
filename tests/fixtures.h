// Settings and a cluster state for unit tests.
#pragma once
#include "state/cluster_state.h"
#include "state/state_log.h"

namespace weirmill::test {

// Returns settings of a small cluster with two zones and two teams.
inline Settings small_settings() {
    Settings s;
    s.name = "node-0";
    s.zone = "a";
    s.api = s.peer = s.cloud = s.state = {"127.0.0.1", 0};
    s.zones = {"a", "b"};
    s.teams = {{"red", 16, 32, 2, 4}, {"blue", 0, 0, 0, 0}};
    s.heartbeat_interval_s = 2;
    s.lease_s = 18;
    s.gang_wait_s = 30;
    s.gang_peer_s = 5;
    s.cancel_s = 38;
    s.state_rps = 100;
    s.state_write_rps = 40;
    s.value_kb = 4;
    s.txn_ops = 12;
    s.cloud_rps = 10;
    s.list_lag_s = 1;
    s.cpu_share = 1;
    s.mem_mb = 56;
    s.max_sockets = 500;
    return s;
}

// Cluster state with two machine types in the zones a and b: `std` with 8 CPUs, and `gpu` with 8
// CPUs and 4 GPUs.
struct ClusterFixture {
    Settings settings = small_settings();
    ClusterState cluster{settings};
    double now = 100;

    ClusterFixture() {
        MachineType std_type{"std", {8000, 0, 64000}, 50, 1, 1.0, 0.4, 30, {"a", "b"}};
        MachineType gpu_type{"gpu", {8000, 4000, 64000}, 50, 1, 10.0, 4.0, 30, {"a", "b"}};
        cluster.set_types({std_type, gpu_type});
    }
    // Adds a machine whose worker is up.
    Index add_machine(const std::string& name, const std::string& type = "std",
                      const std::string& zone = "a", bool spot = false) {
        auto i = cluster.add_machine(name, now);
        auto& m = *cluster.machines[i];
        cluster.describe_machine(m, type, zone, spot);
        m.up = true;
        m.agent_epoch = 1;
        m.up_at = m.last_heartbeat = now;
        return i;
    }
    // `cpus` and `gpus` are per task.
    JobSpec job_spec(const std::string& id, JobKind kind, uint32_t tasks, double cpus,
                     double gpus = 0, Priority priority = Priority::Normal,
                     const std::string& team = "blue") {
        JobSpec s;
        s.id = id;
        s.kind = kind;
        s.tasks = tasks;
        s.demand = {to_milli_ceil(cpus), to_milli_ceil(gpus), 1000};
        s.priority = priority;
        s.team = cluster.names.teams.find(team);
        s.job_class = cluster.names.classes.intern("class");
        s.image = cluster.names.images.intern("image");
        s.spot = true;
        return s;
    }
    // Adds a job that counts as recorded in the state log.
    Index add_job(JobSpec spec) {
        auto i = cluster.add_job(std::move(spec), 1000, now);
        cluster.jobs[i]->record_revision = 1;
        return i;
    }
    // Adds a job with one placed task on each of these machines.
    Index add_running_job(JobSpec spec, const std::vector<Index>& machines) {
        auto j = add_job(std::move(spec));
        for (uint32_t t = 0; t < machines.size(); ++t) cluster.place(j, t, machines[t], 1, now);
        return j;
    }
};

// Eligibility predicate that accepts every machine that is up.
inline bool any_machine(const Machine& m) { return m.up; }

}  // namespace weirmill::test
