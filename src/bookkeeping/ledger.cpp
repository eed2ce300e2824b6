#include "bookkeeping/ledger.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace weirmill {

namespace json = boost::json;

namespace {
constexpr size_t kMaxTxnBytes = 56 * 1024;  // of the 64 KiB that a transaction may have
}

std::string job_key(const std::string& id) { return "j/" + id; }
std::string chunk_key(const std::string& id, uint32_t chunk) {
    return "t/" + id + "/" + std::to_string(chunk);
}
std::string final_key(const std::string& id) { return "f/" + id; }

std::string job_record(const Job& job, const Names& names, bool cancelled) {
    json::object o{{"job", submission_json(job.spec, names)}, {"at", job.submitted}};
    if (cancelled) o["cancelled"] = true;
    return json::serialize(o);
}

std::string chunk_record(const Job& job, uint32_t chunk, const Tables& tables) {
    // done: ranges; placed: [task, attempt, session, index into machines]; tried: [task, attempt].
    json::array done, placed, tried, machine_names;
    std::map<Index, int> machine_of;
    uint32_t begin = chunk * tables.chunk_tasks;
    uint32_t end = std::min<uint32_t>(begin + tables.chunk_tasks, static_cast<uint32_t>(job.tasks.size()));
    for (uint32_t t = begin; t < end; ++t) {
        auto& task = job.tasks[t];
        if (task.state == TaskState::Done) {
            uint32_t last = t;
            while (last + 1 < end && job.tasks[last + 1].state == TaskState::Done) ++last;
            done.push_back(json::array{t, last});
            t = last;
        } else if (task.state == TaskState::Placed) {
            auto [it, fresh] = machine_of.emplace(task.machine, static_cast<int>(machine_of.size()));
            if (fresh) machine_names.emplace_back(tables.machines[task.machine]->name);
            placed.push_back(json::array{t, task.attempt, task.session, it->second});
        } else if (task.attempt > 0) {
            tried.push_back(json::array{t, task.attempt});
        }
    }
    json::object o;
    if (!done.empty()) o["done"] = std::move(done);
    if (!placed.empty()) {
        o["placed"] = std::move(placed);
        o["machines"] = std::move(machine_names);
    }
    if (!tried.empty()) o["tried"] = std::move(tried);
    return json::serialize(o);
}

std::string final_record(JobState state, uint32_t done) {
    return json::serialize(json::object{{"cancelled", state == JobState::Cancelled}, {"done", done}});
}

FinalState parse_final(const json::value& v) {
    auto& o = read::object(v);
    return {read::flag(o, "cancelled") ? JobState::Cancelled : JobState::Done,
            static_cast<uint32_t>(read::count(o, "done"))};
}

bool Ledger::waiting() const {
    return !new_jobs_.empty() || !cancels_.empty() || !finishes_.empty() || !tables_.changed_chunks.empty() ||
           !sweeps_.empty() ||
           std::any_of(notes_.begin(), notes_.end(), [](auto& n) { return !n.second.record.empty(); });
}

LedgerBatch Ledger::next(int ops) {
    LedgerBatch b;
    ops = std::min(ops, txn_ops_);
    size_t bytes = 200;
    auto left = [&] { return ops - static_cast<int>(b.txn.changes.size()); };
    auto condition = [&](std::string key, uint64_t version) {
        StateCondition c{std::move(key), version};
        bytes += c.key.size() + 40;
        if (std::find(b.txn.conditions.begin(), b.txn.conditions.end(), c) == b.txn.conditions.end())
            b.txn.conditions.push_back(std::move(c));
    };
    auto change = [&](std::string key, std::string value) {
        bytes += key.size() + value.size() + 40;
        b.txn.changes.push_back({std::move(key), std::move(value), 0});
    };
    b.txn.conditions.push_back({kLeaderKey, token_});

    while (!cancels_.empty() && left() >= 1 && bytes < kMaxTxnBytes / 2) {
        auto index = cancels_.front();
        auto& job = *tables_.jobs[index];
        cancels_.pop_front();
        condition(job_key(job.spec.id), job.version);
        change(job_key(job.spec.id), job_record(job, tables_.names, true));
        b.entries.push_back({EntryKind::Cancel, index, 0, 0, {}});
        b.urgent = true;
    }
    while (!new_jobs_.empty() && left() >= 1 && bytes < kMaxTxnBytes / 2) {
        auto index = new_jobs_.front();
        auto& job = *tables_.jobs[index];
        new_jobs_.pop_front();
        condition(job_key(job.spec.id), 0);
        condition(final_key(job.spec.id), 0);
        change(job_key(job.spec.id), job_record(job, tables_.names, false));
        b.entries.push_back({EntryKind::NewJob, index, 0, 0, {}});
        b.urgent = true;
    }
    for (size_t i = 0; i < finishes_.size() && bytes < kMaxTxnBytes / 2;) {
        auto index = finishes_[i];
        auto& job = *tables_.jobs[index];
        // A job touched elsewhere in this transaction waits for the next one.
        bool busy = std::any_of(b.entries.begin(), b.entries.end(), [&](auto& e) { return e.job == index; });
        if (busy || left() < 2) {
            ++i;
            continue;
        }
        finishes_.erase(finishes_.begin() + static_cast<long>(i));
        auto& id = job.spec.id;
        condition(job_key(id), job.version);
        condition(final_key(id), 0);
        change(final_key(id), final_record(job.cancelled ? JobState::Cancelled : JobState::Done, job.done));
        change(job_key(id), "");
        uint32_t swept = 0;
        for (uint32_t c = 0; c < job.chunks.size(); ++c) {
            if (job.chunks[c].version == 0) continue;
            if (left() < 1) break;
            condition(chunk_key(id, c), job.chunks[c].version);
            change(chunk_key(id, c), "");
            swept = c + 1;
        }
        b.entries.push_back({EntryKind::Finish, index, swept, 0, {}});
    }
    auto& changed = tables_.changed_chunks;
    for (size_t i = 0; i < changed.size() && left() >= 1 && bytes < kMaxTxnBytes;) {
        auto [index, c] = changed[i];
        auto& job = *tables_.jobs[index];
        if (job.ending) {
            // Its end replaces all of this.
            job.chunks[c].queued = false;
            changed.erase(changed.begin() + static_cast<long>(i));
            continue;
        }
        auto record = chunk_record(job, c, tables_);
        if (bytes + record.size() + 300 > kMaxTxnBytes && !b.entries.empty()) break;
        changed.erase(changed.begin() + static_cast<long>(i));
        auto& chunk = job.chunks[c];
        chunk.queued = false;
        // The job's own key as well: a late copy of a transaction that created this chunk must not
        // bring it back once the job has ended.
        condition(job_key(job.spec.id), job.version);
        condition(chunk_key(job.spec.id, c), chunk.version);
        change(chunk_key(job.spec.id, c), std::move(record));
        b.entries.push_back({EntryKind::Chunk, index, c, chunk.change, {}});
    }
    for (auto& [key, note] : notes_) {
        if (note.record.empty() || left() < 1 || bytes + note.record.size() > kMaxTxnBytes) continue;
        condition(key, note.version);
        change(key, std::move(note.record));
        note.record.clear();
        b.entries.push_back({EntryKind::Note, kNone, 0, 0, key});
    }
    while (!sweeps_.empty() && left() >= 1 && bytes < kMaxTxnBytes) {
        condition(sweeps_.front().key, sweeps_.front().version);
        change(sweeps_.front().key, "");
        b.entries.push_back({EntryKind::Sweep, kNone, 0, 0, sweeps_.front().key});
        sweeps_.pop_front();
    }
    return b;
}

void Ledger::committed(const LedgerBatch& batch, uint64_t revision) {
    for (auto& e : batch.entries) {
        Job* job = e.job == kNone ? nullptr : tables_.jobs[e.job].get();
        switch (e.kind) {
            case EntryKind::Cancel:
                job->cancel_recorded = true;
                [[fallthrough]];
            case EntryKind::NewJob:
                job->version = revision;
                break;
            case EntryKind::Finish:
                for (uint32_t c = e.chunk; c < job->chunks.size(); ++c)
                    if (job->chunks[c].version) sweep(chunk_key(job->spec.id, c), job->chunks[c].version);
                break;
            case EntryKind::Chunk:
                job->chunks[e.chunk].version = revision;
                job->chunks[e.chunk].committed = e.change;
                break;
            case EntryKind::Note:
                notes_[e.key].version = revision;
                break;
            case EntryKind::Sweep:
                break;
        }
    }
}

void Ledger::rejected(const LedgerBatch& batch) {
    for (auto it = batch.entries.rbegin(); it != batch.entries.rend(); ++it) {
        auto& e = *it;
        switch (e.kind) {
            case EntryKind::NewJob:
                break;
            case EntryKind::Cancel:
                cancels_.push_front(e.job);
                break;
            case EntryKind::Finish:
                finishes_.push_front(e.job);
                break;
            case EntryKind::Chunk: {
                auto& chunk = tables_.jobs[e.job]->chunks[e.chunk];
                if (!chunk.queued) {
                    chunk.queued = true;
                    tables_.changed_chunks.emplace_front(e.job, e.chunk);
                }
                break;
            }
            case EntryKind::Sweep:
                for (auto& c : batch.txn.conditions)
                    if (c.key == e.key) sweeps_.push_front(c);
                break;
            case EntryKind::Note:
                // A newer value may have come meanwhile.
                if (auto& record = notes_[e.key].record; record.empty())
                    for (auto& c : batch.txn.changes)
                        if (c.key == e.key) record = c.value;
                break;
        }
    }
}

void Ledger::clear() {
    new_jobs_.clear();
    cancels_.clear();
    finishes_.clear();
    sweeps_.clear();
    notes_.clear();
}

void Ledger::load_job(const StateItem& item, double now) {
    auto& o = read::object(item.value);
    auto* body = read::field(o, "job");
    if (!body) read::bad("job");
    auto spec = parse_submission(*body, tables_.names);
    if (spec.team == kNone) read::bad("job.team");
    auto index = tables_.add_job(std::move(spec), read::number(o, "at", {}, 1e12), now);
    auto& job = *tables_.jobs[index];
    job.version = item.version;
    job.cancelled = job.cancel_recorded = read::flag(o, "cancelled", false);
}

void Ledger::load_chunk(const StateItem& item, double now) {
    auto slash = item.key.rfind('/');
    if (item.key.size() < 3 || slash == std::string::npos || slash < 3) read::bad("key");
    uint32_t c = 0;
    auto [end, ec] = std::from_chars(item.key.data() + slash + 1, item.key.data() + item.key.size(), c);
    if (ec != std::errc() || end != item.key.data() + item.key.size()) read::bad("key");
    auto it = tables_.job_index.find(item.key.substr(2, slash - 2));
    if (it == tables_.job_index.end()) {
        sweep(item.key, item.version);  // left over from a job that has ended
        return;
    }
    auto& job = *tables_.jobs[it->second];
    if (c >= job.chunks.size()) read::bad("chunk");
    job.chunks[c].version = item.version;
    auto& o = read::object(item.value);
    auto row = [&](const json::value& v, size_t n) {
        if (!v.is_array() || v.get_array().size() != n) read::bad("chunk row");
        std::vector<uint32_t> out;
        for (auto& x : v.get_array()) {
            boost::system::error_code bad;
            out.push_back(x.to_number<uint32_t>(bad));
            if (bad) read::bad("chunk row");
        }
        if (out[0] >= job.tasks.size() || out[0] / tables_.chunk_tasks != c) read::bad("chunk row");
        return out;
    };
    if (read::field(o, "done"))
        for (auto& v : read::array(o, "done")) {
            auto r = row(v, 2);
            if (r[1] >= job.tasks.size() || r[1] < r[0]) read::bad("chunk row");
            for (uint32_t t = r[0]; t <= r[1]; ++t) {
                job.tasks[t].state = TaskState::Done;
                --job.pending, ++job.done;
            }
        }
    if (read::field(o, "tried"))
        for (auto& v : read::array(o, "tried")) {
            auto r = row(v, 2);
            job.tasks[r[0]].attempt = r[1];
            job.gang_attempt = std::max(job.gang_attempt, r[1]);
        }
    if (read::field(o, "placed")) {
        auto& machines = read::array(o, "machines");
        for (auto& v : read::array(o, "placed")) {
            auto r = row(v, 4);
            if (r[3] >= machines.size() || !machines[r[3]].is_string()) read::bad("chunk row");
            auto machine = tables_.add_machine(std::string(machines[r[3]].get_string()), now);
            tables_.restore_placed(it->second, r[0], machine, r[1], r[2]);
            job.gang_attempt = std::max(job.gang_attempt, r[1]);
        }
    }
}

}  // namespace weirmill
