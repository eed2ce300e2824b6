// In-memory key-value store for tests of the state log, with helpers that drive the log and
// describe its contents.
#pragma once
#include <gtest/gtest.h>

#include <map>

#include "state/state_log.h"

namespace weirmill::test {

// Applies conditional transactions and keeps a version per key.
struct MemoryKvStore {
    std::map<std::string, std::pair<std::string, uint64_t>> keys{{kLeaderKey, {"{}", 41}}};
    uint64_t revision = 41;

    // Returns the new revision, or 0 if a condition fails.
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
    // Returns the number of segments of the state log.
    size_t segment_count() const {
        size_t n = 0;
        for (auto& [key, value] : keys) n += key.starts_with(kSegmentPrefix);
        return n;
    }
    // Returns all segments as a page of a listing.
    KvPage segment_page() const {
        KvPage page;
        for (auto& [key, value] : keys)
            if (key.starts_with(kSegmentPrefix))
                page.items.push_back({key, boost::json::parse(value.first), value.second, 0});
        return page;
    }
    // Loads the stored log into `state_log`, which is cleared first.
    void load_into(StateLog& state_log, double now) const {
        state_log.clear();
        auto to_item = [](auto& entry) {
            return KvItem{entry.first, boost::json::parse(entry.second.first), entry.second.second,
                          0};
        };
        if (auto it = keys.find(kLogKey); it != keys.end()) state_log.load_head(to_item(*it));
        for (auto& entry : keys)
            if (entry.first.starts_with(kSegmentPrefix))
                state_log.load_segment(to_item(entry), now);
        state_log.finish_loading(now);
    }
};

// Checks that the batch fits the limits of the state service.
inline void expect_within_limits(const StateLogBatch& batch, StateLogLimits limits) {
    EXPECT_LE(batch.txn.changes.size(), static_cast<size_t>(limits.txn_ops));
    EXPECT_LE(batch.txn.conditions.size(), 4 * static_cast<size_t>(limits.txn_ops));
    EXPECT_LE(txn_json(batch.txn).size(), 64u * 1024);
    for (auto& c : batch.txn.changes)
        EXPECT_LE(c.value.size(), static_cast<size_t>(limits.value_kb * 1024)) << c.key;
}

// Commits all pending records to the store and removes ended jobs from the cluster state. Returns
// the number of transactions.
inline int commit_all(StateLog& state_log, ClusterState& cluster, MemoryKvStore& store,
                      StateLogLimits limits, double now) {
    int transactions = 0;
    for (; state_log.has_work() && transactions < 20000; ++transactions) {
        auto batch = state_log.next_batch(limits.txn_ops);
        if (batch.empty()) break;
        expect_within_limits(batch, limits);
        auto revision = store.apply(batch.txn);
        EXPECT_NE(revision, 0u);
        state_log.committed(batch, revision);
        for (auto& e : batch.entries)
            if (e.kind == EntryKind::JobEnd) cluster.remove_job(e.job, now);
    }
    return transactions;
}

// Changes a random task of every job, and cancels on average one in `jobs_per_cancellation` jobs.
// `random_below(n)` returns a random number below n.
template <class RandomBelow>
void advance_randomly(ClusterState& cluster, StateLog& state_log,
                      const std::vector<Index>& machines, RandomBelow&& random_below,
                      uint32_t jobs_per_cancellation, double now) {
    for (Index j = 0; j < cluster.jobs.size(); ++j) {
        auto* job = cluster.jobs[j].get();
        if (!job || job->record_revision == 0 || job->ending) continue;
        auto t = random_below(job->tasks.size());
        auto& task = job->tasks[t];
        if (task.state == TaskState::Pending && !job->cancelled)
            cluster.place(j, t, machines[random_below(machines.size())], task.attempt + 1, now);
        else if (task.state == TaskState::Placed && random_below(4) > 0)
            cluster.finish(j, t, now);
        else if (task.state == TaskState::Placed)
            cluster.unassign(j, t, now);
        if (random_below(jobs_per_cancellation) == 0 && !job->cancelled) {
            job->cancelled = true;
            state_log.queue_cancellation(j);
        }
        if (job->done == job->tasks.size() || (job->cancel_durable && job->placed == 0)) {
            job->ending = true;
            state_log.queue_job_end(j);
        }
    }
}

// Describes every recorded job of the cluster state by its id: its tasks, their machines by name,
// and the ids of the jobs that it depends on.
inline std::map<std::string, std::string> describe_jobs(const ClusterState& cluster) {
    std::map<std::string, std::string> out;
    for (Index j = 0; j < cluster.jobs.size(); ++j) {
        auto* job = cluster.jobs[j].get();
        if (!job || job->record_revision == 0) continue;
        auto& text = out[job->spec.id];
        text = job->cancel_durable ? "cancelled" : "";
        for (auto& t : job->tasks) {
            text += ' ';
            if (t.state == TaskState::Done)
                text += "done";
            else
                text += std::to_string(t.attempt) +
                        (t.state == TaskState::Placed ? cluster.machines[t.machine]->name : "");
        }
        if (job->cancel_durable) continue;
        std::set<std::string> dependencies;
        for (auto d : cluster.dependencies().dependencies_of(j))
            dependencies.insert(cluster.jobs[d]->spec.id);
        for (auto& id : dependencies) text += " after " + id;
        if (job->ready_wall > 0) text += " ready " + std::to_string(job->ready_wall);
    }
    return out;
}

}  // namespace weirmill::test
