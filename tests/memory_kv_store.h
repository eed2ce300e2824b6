// The key-value store as the state log sees it: conditions, changes, versions.
#pragma once
#include <gtest/gtest.h>

#include <map>

#include "state/state_log.h"

namespace weirmill::test {

struct MemoryKvStore {
    std::map<std::string, std::pair<std::string, uint64_t>> keys{{kLeaderKey, {"{}", 41}}};
    uint64_t revision = 41;

    // The revision, or 0 where a condition fails.
    uint64_t apply(const CasTransaction& txn) {
        for (auto& c : txn.conditions) {
            auto it = keys.find(c.key);
            if ((it == keys.end() ? 0 : it->second.second) != c.version) return 0;
        }
        ++revision;
        for (auto& c : txn.changes) {
            if (c.value.empty())
                keys.erase(c.key);
            else
                keys[c.key] = {c.value, revision};
        }
        return revision;
    }
    size_t segment_count() const {
        size_t n = 0;
        for (auto& [key, value] : keys) n += key.starts_with(kSegmentPrefix);
        return n;
    }
    KvPage segment_page() const {
        KvPage page;
        for (auto& [key, value] : keys)
            if (key.starts_with(kSegmentPrefix))
                page.items.push_back({key, boost::json::parse(value.first), value.second, 0});
        return page;
    }
    void load_into(StateLog& state_log, double now) const {
        state_log.clear();
        auto item = [](auto& k) {
            return KvItem{k.first, boost::json::parse(k.second.first), k.second.second, 0};
        };
        if (auto it = keys.find(kLogKey); it != keys.end()) state_log.load_head(item(*it));
        for (auto& k : keys)
            if (k.first.starts_with(kSegmentPrefix)) state_log.load_segment(item(k), now);
        state_log.loaded(now);
    }
};

inline void expect_within_limits(const StateLogBatch& b, StateLogLimits limits) {
    EXPECT_LE(b.txn.changes.size(), static_cast<size_t>(limits.txn_ops));
    EXPECT_LE(b.txn.conditions.size(), 4 * static_cast<size_t>(limits.txn_ops));
    EXPECT_LE(txn_json(b.txn).size(), 64u * 1024);
    for (auto& c : b.txn.changes)
        EXPECT_LE(c.value.size(), static_cast<size_t>(limits.value_kb * 1024)) << c.key;
}

// Until nothing waits to be recorded; ended jobs leave the cluster state. Returns how many
// transactions it took.
inline int commit_all(StateLog& state_log, ClusterState& cluster, MemoryKvStore& store,
                      StateLogLimits limits, double now) {
    int n = 0;
    for (; state_log.waiting() && n < 20000; ++n) {
        auto b = state_log.next(limits.txn_ops);
        if (b.empty()) break;
        expect_within_limits(b, limits);
        auto revision = store.apply(b.txn);
        EXPECT_NE(revision, 0u);
        state_log.committed(b, revision);
        for (auto& e : b.entries)
            if (e.kind == EntryKind::Finish) cluster.remove_job(e.job, now);
    }
    return n;
}

// Something happens to a task of every job, and one in so many is cancelled. `below(n)`: a random
// number below n.
template <class Below>
void advance_randomly(ClusterState& cluster, StateLog& state_log,
                      const std::vector<Index>& machines, Below&& below, uint32_t cancelled_one_in,
                      double now) {
    for (Index j = 0; j < cluster.jobs.size(); ++j) {
        auto* job = cluster.jobs[j].get();
        if (!job || job->version == 0 || job->ending) continue;
        auto t = below(job->tasks.size());
        auto& task = job->tasks[t];
        if (task.state == TaskState::Pending && !job->cancelled)
            cluster.place(j, t, machines[below(machines.size())], task.attempt + 1, now);
        else if (task.state == TaskState::Placed && below(4) > 0)
            cluster.finish(j, t, now);
        else if (task.state == TaskState::Placed)
            cluster.unassign(j, t, now);
        if (below(cancelled_one_in) == 0 && !job->cancelled) {
            job->cancelled = true;
            state_log.cancel(j);
        }
        if (job->done == job->tasks.size() || (job->cancel_recorded && job->placed == 0)) {
            job->ending = true;
            state_log.finish(j);
        }
    }
}

// Every task as the cluster state holds it, machines by name, and what a job waits for, by id.
inline std::map<std::string, std::string> describe_jobs(const ClusterState& cluster) {
    std::map<std::string, std::string> out;
    for (Index j = 0; j < cluster.jobs.size(); ++j) {
        auto* job = cluster.jobs[j].get();
        if (!job || job->version == 0) continue;
        auto& text = out[job->spec.id];
        text = job->cancel_recorded ? "cancelled" : "";
        for (auto& t : job->tasks) {
            text += ' ';
            if (t.state == TaskState::Done)
                text += "done";
            else
                text += std::to_string(t.attempt) +
                        (t.state == TaskState::Placed ? cluster.machines[t.machine]->name : "");
        }
        if (job->cancel_recorded) continue;
        std::set<std::string> on;
        for (auto d : cluster.dependencies().of(j)) on.insert(cluster.jobs[d]->spec.id);
        for (auto& id : on) text += " after " + id;
        if (job->ready > 0) text += " ready " + std::to_string(job->ready);
    }
    return out;
}

}  // namespace weirmill::test
