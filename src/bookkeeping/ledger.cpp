#include "bookkeeping/ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace weirmill {

namespace json = boost::json;

namespace {
constexpr size_t kMaxTxnBytes = 56 * 1024;  // of the 64 KiB that a transaction may have
// A segment is written again with every flush until it is full: more than this costs more than it saves.
constexpr size_t kFull = 8 * 1024;
constexpr size_t kEntryBytes = 700;  // rows of one entry, about
constexpr size_t kRetoldAtOnce = 3 * 1024;
}  // namespace

std::string segment_key(uint64_t number) { return fmt::format("{}{:016}", kSegments, number); }
std::string final_key(const std::string& id) { return "f/" + id; }

// Entries of a segment: ["j", {job, at, cancelled}] a job, ["c", id] its cancellation, ["e", id] its end,
// ["t", id, row...] its tasks. Rows: [task, attempt] waiting, [task, attempt, session, machine] placed,
// [first, last, "d"] done.
std::string job_record(const Job& job, const Names& names) {
    json::object o{{"job", submission_json(job.spec, names)}, {"at", job.submitted}};
    if (job.cancel_recorded) o["cancelled"] = true;
    return json::serialize(json::array{"j", std::move(o)});
}

std::string final_record(JobState state, uint32_t done) {
    return json::serialize(json::object{{"cancelled", state == JobState::Cancelled}, {"done", done}});
}

FinalState parse_final(const json::value& v) {
    auto& o = read::object(v);
    return {read::flag(o, "cancelled") ? JobState::Cancelled : JobState::Done,
            static_cast<uint32_t>(read::count(o, "done"))};
}

namespace {

std::string quoted(const std::string& s) { return json::serialize(json::string(s)); }
std::string short_entry(const char* tag, const std::string& id) {
    return fmt::format("[\"{}\",{}]", tag, quoted(id));
}

// `rows`: as add_row writes them, each with its comma.
std::string tasks_entry(const std::string& id, const std::string& rows) {
    return fmt::format("[\"t\",{}{}]", quoted(id), rows);
}

// One row; a run of done tasks is one. Returns the task after it.
uint32_t add_row(std::string& text, const Job& job, uint32_t t, uint32_t end, const Tables& tables) {
    auto& task = job.tasks[t];
    auto out = std::back_inserter(text);
    if (task.state == TaskState::Done) {
        uint32_t last = t;
        while (last + 1 < end && job.tasks[last + 1].state == TaskState::Done) ++last;
        fmt::format_to(out, ",[{},{},\"d\"]", t, last);
        return last + 1;
    }
    if (task.state == TaskState::Placed)
        fmt::format_to(out, ",[{},{},{},{}]", t, task.attempt, task.session,
                       quoted(tables.machines[task.machine]->name));
    else
        fmt::format_to(out, ",[{},{}]", t, task.attempt);
    return t + 1;
}

}  // namespace

// What a transaction will write to the log: the open segment with more entries, and further ones after it.
struct Ledger::Staged {
    std::vector<LedgerBatch::Written> segments;
    bool open_untouched = false;  // the first of them is the open one, as it stands
    size_t soft, hard, bytes = 0;
    int ops;  // changes that the transaction may still have
    uint64_t next_number;

    bool put(const std::string& entry) {
        bool fits = !segments.empty() && segments.back().text.size() + entry.size() + 2 <= soft;
        size_t more = entry.size() + 300;
        if (fits && segments.size() == 1 && open_untouched) more += segments.back().text.size();
        bool costs = !fits || (segments.size() == 1 && open_untouched);
        if ((costs && ops < 1) || bytes + more > kMaxTxnBytes || entry.size() + 2 > hard) return false;
        if (!fits) {
            segments.push_back({next_number++, "["});
        } else if (costs) {
            open_untouched = false;
            bytes += segments.back().text.size();
        }
        if (costs) {
            --ops;
            bytes += 100;  // its key, twice, and what stands around it
        }
        auto& text = segments.back().text;
        if (text.size() > 1) text += ',';
        text += entry;
        bytes += entry.size() + 1;
        return true;
    }
    uint64_t number() const { return segments.back().number; }
};

Ledger::Ledger(Tables& tables, uint64_t token, LedgerLimits limits)
    : tables_(tables), token_(token), txn_ops_(limits.txn_ops) {
    hard_limit_ = static_cast<size_t>(limits.value_kb * 1024) - 64;
    soft_limit_ = std::min(hard_limit_, kFull);
    entry_limit_ = std::min(kEntryBytes, hard_limit_ / 2);
}

bool Ledger::waiting() const {
    return !new_jobs_.empty() || !cancels_.empty() || !finishes_.empty() || !tables_.changes.empty() ||
           retelling_ != 0 ||
           std::any_of(notes_.begin(), notes_.end(), [](auto& n) { return !n.second.record.empty(); });
}

LedgerBatch Ledger::next(int ops) {
    LedgerBatch b;
    ops = std::min(ops, txn_ops_);
    const size_t most_conditions = 4 * static_cast<size_t>(txn_ops_) - 8;
    b.through = tables_.recorded_through;
    b.first = first_;
    Staged s{{}, !open_.empty(), soft_limit_, hard_limit_, 0, ops, next_number_};
    if (!open_.empty()) s.segments.push_back({segments_.back().number, open_});
    auto condition = [&](std::string key, uint64_t version) {
        s.bytes += key.size() + 40;
        b.txn.conditions.push_back({std::move(key), version});
    };
    auto change = [&](std::string key, std::string value) {
        s.bytes += key.size() + value.size() + 40;
        b.txn.changes.push_back({std::move(key), std::move(value), 0});
    };
    auto room = [&] { return b.txn.conditions.size() + 2 < most_conditions; };
    condition(kLeaderKey, token_);
    // With every drop the head changes: a late copy can't bring a dropped segment back.
    condition(kLogKey, head_version_);

    while (!cancels_.empty()) {
        auto index = cancels_.front();
        if (!s.put(short_entry("c", tables_.jobs[index]->spec.id))) break;
        cancels_.pop_front();
        b.entries.push_back({EntryKind::Cancel, index, {}});
        b.urgent = true;
    }
    while (!new_jobs_.empty() && room()) {
        auto index = new_jobs_.front();
        auto& job = *tables_.jobs[index];
        if (!s.put(job_record(job, tables_.names))) break;
        new_jobs_.pop_front();
        condition(final_key(job.spec.id), 0);
        b.entries.push_back({EntryKind::NewJob, index, {}});
        b.bases.emplace_back(index, s.number());
        b.urgent = true;
    }
    while (!finishes_.empty() && room() && s.ops >= 1) {
        auto index = finishes_.front();
        auto& job = *tables_.jobs[index];
        // Its final state takes a change of its own, which the log must leave.
        --s.ops;
        if (!s.put(short_entry("e", job.spec.id))) {
            ++s.ops;
            break;
        }
        finishes_.pop_front();
        condition(final_key(job.spec.id), 0);
        change(final_key(job.spec.id),
               final_record(job.cancelled ? JobState::Cancelled : JobState::Done, job.done));
        b.entries.push_back({EntryKind::Finish, index, {}});
    }
    tell_tasks(s, b);
    retell(s, b);
    for (auto& [key, note] : notes_) {
        if (note.record.empty() || s.ops < 1 || s.bytes + note.record.size() > kMaxTxnBytes) continue;
        condition(key, note.version);
        change(key, std::move(note.record));
        note.record.clear();
        --s.ops;
        b.entries.push_back({EntryKind::Note, kNone, key});
    }
    if (s.open_untouched) s.segments.erase(s.segments.begin());
    // The log first: its keys tell an unsure sender whether the transaction was applied.
    std::vector<StateChange> log;
    for (auto& w : s.segments) {
        bool open = !open_.empty() && w.number == segments_.back().number;
        condition(segment_key(w.number), open ? segments_.back().version : 0);
        log.push_back({segment_key(w.number), w.text + "]", 0});
    }
    b.segments = std::move(s.segments);
    b.txn.changes.insert(b.txn.changes.begin(), std::make_move_iterator(log.begin()),
                         std::make_move_iterator(log.end()));
    drop(b, s.ops);
    return b;
}

// Changes of tasks, in order, as far as they fit; of several to one task only the newest.
void Ledger::tell_tasks(Staged& s, LedgerBatch& b) {
    auto& queue = tables_.changes;
    while (!queue.empty()) {
        Index index = queue.front().ref.job;
        std::string text;
        std::vector<TaskChange> told;
        size_t n = 0;
        uint64_t through = b.through;
        for (; n < queue.size() && text.size() < entry_limit_; ++n) {
            auto& c = queue[n];
            if (c.ref.job != index) break;
            through = c.change;
            // The end of a job replaces all of this.
            if (!tables_.current(c) || tables_.jobs[index]->ending) continue;
            add_row(text, *tables_.jobs[index], c.ref.task, c.ref.task + 1, tables_);
            told.push_back(c);
        }
        if (!text.empty() && !s.put(tasks_entry(tables_.jobs[index]->spec.id, text))) return;
        b.tasks.insert(b.tasks.end(), told.begin(), told.end());
        b.through = through;
        queue.erase(queue.begin(), queue.begin() + static_cast<long>(n));
    }
}

// Segments that what is alive should take, with as much again for what is not.
size_t Ledger::wanted_segments() const {
    size_t bytes = 0;
    for (auto& job : tables_.jobs)
        if (job) bytes += 500 + 40 * size_t{job->placed} + 14 * size_t{job->done};
    return 4 + 2 * bytes / soft_limit_;
}

// Jobs that the oldest segments tell of are told anew, some at a time.
void Ledger::retell(Staged& s, LedgerBatch& b) {
    if (retelling_ == 0) return;
    size_t until = s.bytes + kRetoldAtOnce;
    for (Index j = 0; j < tables_.jobs.size() && s.bytes < until; ++j) {
        auto* job = tables_.jobs[j].get();
        if (!job || job->version == 0 || job->base > retelling_ || job->ending) continue;
        if (cursor_job_ != kNone && cursor_job_ != j) {
            auto* other = tables_.jobs[cursor_job_].get();
            if (other && other->version != 0 && other->base <= retelling_ && !other->ending)
                continue;  // one after the other
            cursor_job_ = kNone;
        }
        if (std::any_of(b.bases.begin(), b.bases.end(), [&](auto& x) { return x.first == j; })) continue;
        if (cursor_job_ == kNone) {
            if (!s.put(job_record(*job, tables_.names))) return;
            cursor_job_ = j;
            cursor_task_ = 0;
            cursor_base_ = s.number();
        }
        auto end = static_cast<uint32_t>(job->tasks.size());
        while (cursor_task_ < end && s.bytes < until) {
            std::string text;
            uint32_t t = cursor_task_;
            while (t < end && text.size() < entry_limit_) {
                auto& task = job->tasks[t];
                if (task.state == TaskState::Pending && task.attempt == 0)
                    ++t;
                else
                    t = add_row(text, *job, t, end, tables_);
            }
            if (!text.empty() && !s.put(tasks_entry(job->spec.id, text))) return;
            cursor_task_ = t;
        }
        if (cursor_task_ < end) return;
        b.bases.emplace_back(j, cursor_base_);
        cursor_job_ = kNone;
    }
}

// Segments that tell of nothing any more.
void Ledger::drop(LedgerBatch& b, int ops) {
    if (retelling_ == 0 || ops < 2) return;
    for (auto& job : tables_.jobs)
        if (job && job->version != 0 && job->base <= retelling_) return;
    size_t most = static_cast<size_t>(ops) - 1;
    uint64_t first = first_;
    for (auto& segment : segments_) {
        if (segment.number > retelling_ || most-- == 0 ||
            b.txn.conditions.size() >= 4 * static_cast<size_t>(txn_ops_))
            break;
        b.txn.conditions.push_back({segment_key(segment.number), segment.version});
        b.txn.changes.push_back({segment_key(segment.number), "", 0});
        first = segment.number + 1;
    }
    if (first == first_) return;
    b.first = first;
    b.txn.changes.push_back({kLogKey, json::serialize(json::object{{"first", first}}), 0});
}

void Ledger::committed(const LedgerBatch& batch, uint64_t revision) {
    tables_.recorded_through = std::max(tables_.recorded_through, batch.through);
    for (auto& w : batch.segments) {
        if (!segments_.empty() && segments_.back().number == w.number)
            segments_.back().version = revision;
        else
            segments_.push_back({w.number, revision});
        open_ = w.text;
        next_number_ = std::max(next_number_, w.number + 1);
    }
    for (auto& [j, base] : batch.bases)
        if (tables_.jobs[j]) tables_.jobs[j]->base = base;
    for (auto& e : batch.entries) {
        if (e.kind == EntryKind::Cancel) tables_.jobs[e.job]->cancel_recorded = true;
        if (e.kind == EntryKind::NewJob) tables_.jobs[e.job]->version = revision;
        if (e.kind == EntryKind::Note) notes_[e.key].version = revision;
    }
    if (batch.first != first_) {
        while (!segments_.empty() && segments_.front().number < batch.first) segments_.pop_front();
        first_ = batch.first;
        head_version_ = revision;
        if (segments_.empty() || segments_.front().number > retelling_) retelling_ = 0;
        if (segments_.empty()) open_.clear();
    }
    // One segment at a time, the oldest, and never the open one.
    if (retelling_ == 0 && segments_.size() > wanted_segments() + 1) {
        retelling_ = segments_.front().number;
        cursor_job_ = kNone;
    }
}

void Ledger::rejected(const LedgerBatch& batch) {
    for (auto it = batch.tasks.rbegin(); it != batch.tasks.rend(); ++it)
        if (tables_.current(*it)) tables_.changes.push_front(*it);
    cursor_job_ = kNone;
    for (auto it = batch.entries.rbegin(); it != batch.entries.rend(); ++it) {
        auto& e = *it;
        if (e.kind == EntryKind::Cancel) cancels_.push_front(e.job);
        if (e.kind == EntryKind::Finish) finishes_.push_front(e.job);
        if (e.kind != EntryKind::Note) continue;
        // A newer value may have come meanwhile.
        if (auto& record = notes_[e.key].record; record.empty())
            for (auto& c : batch.txn.changes)
                if (c.key == e.key) record = c.value;
    }
}

void Ledger::clear() {
    new_jobs_.clear();
    cancels_.clear();
    finishes_.clear();
    notes_.clear();
    segments_.clear();
    open_.clear();
    loading_.clear();
    next_number_ = 1;
    head_version_ = first_ = retelling_ = 0;
    cursor_job_ = kNone;
}

void Ledger::load_head(const StateItem& item) {
    first_ = read::count(read::object(item.value), "first");
    head_version_ = item.version;
    next_number_ = std::max(next_number_, first_);
}

void Ledger::load_segment(const StateItem& item, double now) {
    uint64_t number = 0;
    auto* begin = item.key.data() + kSegments.size();
    auto* last = item.key.data() + item.key.size();
    if (item.key.size() <= kSegments.size()) read::bad("key");
    auto [end, ec] = std::from_chars(begin, last, number);
    if (ec != std::errc() || end != last || number < next_number_) read::bad("key");
    if (!item.value.is_array()) read::bad("segment");
    for (auto& v : item.value.get_array()) {
        if (!v.is_array() || v.get_array().size() < 2) read::bad("entry");
        next_number_ = number;  // for the base of jobs that it tells of
        load_entry(v.get_array(), now);
    }
    segments_.push_back({number, item.version});
    next_number_ = number + 1;
}

void Ledger::load_entry(const json::array& entry, double now) {
    if (!entry[0].is_string()) read::bad("entry");
    std::string_view tag = entry[0].get_string();
    if (tag == "j") {
        auto& o = read::object(entry[1]);
        auto* body = read::field(o, "job");
        if (!body) read::bad("job");
        auto spec = parse_submission(*body, tables_.names);
        if (spec.team == kNone) read::bad("job.team");
        bool cancelled = read::flag(o, "cancelled", false);
        auto it = tables_.job_index.find(spec.id);
        // Told anew: what came before stands, and what follows repeats it.
        auto index = it != tables_.job_index.end()
                         ? it->second
                         : tables_.add_job(std::move(spec), read::number(o, "at", {}, 1e12), now);
        auto& job = *tables_.jobs[index];
        if (job.version == 0) {
            job.version = 1;
            job.base = next_number_;
        }
        if (cancelled) job.cancelled = job.cancel_recorded = true;
        return;
    }
    if (!entry[1].is_string()) read::bad("entry");
    auto it = tables_.job_index.find(std::string(entry[1].get_string()));
    // A job of which an earlier segment told that is gone by now: it has ended, or is told anew further on.
    if (it == tables_.job_index.end()) return;
    Index index = it->second;
    auto& job = *tables_.jobs[index];
    if (tag == "c") {
        job.cancelled = job.cancel_recorded = true;
    } else if (tag == "e") {
        loading_.erase(index);
        for (auto& task : job.tasks) task.state = TaskState::Pending;  // none is on a machine yet
        tables_.remove_job(index);
    } else if (tag == "t") {
        auto& names = loading_[index];
        names.resize(job.tasks.size());
        for (size_t i = 2; i < entry.size(); ++i) {
            if (!entry[i].is_array()) read::bad("row");
            auto& row = entry[i].get_array();
            auto number = [&](size_t k) {
                boost::system::error_code bad;
                auto n = k < row.size() ? row[k].to_number<uint32_t>(bad) : 0;
                if (bad || k >= row.size()) read::bad("row");
                return n;
            };
            uint32_t t = number(0);
            if (t >= job.tasks.size()) read::bad("row");
            auto& task = job.tasks[t];
            if (row.size() == 3 && row[2].is_string()) {
                uint32_t upto = number(1);
                if (upto < t || upto >= job.tasks.size()) read::bad("row");
                for (uint32_t k = t; k <= upto; ++k) {
                    job.tasks[k].state = TaskState::Done;
                    names[k].clear();
                }
            } else if (row.size() == 4 && row[3].is_string()) {
                task.state = TaskState::Placed;
                task.attempt = number(1);
                task.session = number(2);
                names[t] = std::string(row[3].get_string());
            } else if (row.size() == 2) {
                task.state = TaskState::Pending;
                task.attempt = number(1);
                names[t].clear();
            } else {
                read::bad("row");
            }
        }
    } else {
        read::bad("entry");
    }
}

void Ledger::loaded(double now) {
    for (Index j = 0; j < tables_.jobs.size(); ++j)
        if (tables_.jobs[j]) tables_.restore_counts(j);
    for (auto& job : tables_.jobs)
        if (job) tables_.mark_guaranteed(*job);
    for (auto& [j, names] : loading_)
        for (uint32_t t = 0; t < names.size(); ++t) {
            if (names[t].empty()) continue;
            auto& task = tables_.jobs[j]->tasks[t];
            tables_.restore_placed(j, t, tables_.add_machine(names[t], now), task.attempt, task.session);
        }
    loading_.clear();
}

}  // namespace weirmill
