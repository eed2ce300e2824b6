#include "state/state_log.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>

#include "standby/pending_records.h"

namespace weirmill {

namespace json = boost::json;

namespace {
constexpr size_t kMaxTxnBytes = 56 * 1024;  // of the 64 KiB that a transaction may have
// A segment is written again with every flush until it is full: more than this costs more than it
// saves.
constexpr size_t kFull = 8 * 1024;
constexpr size_t kEntryBytes = 700;  // rows of one entry, about
constexpr size_t kRetoldAtOnce = 3 * 1024;
constexpr size_t kSpare = 64;       // of a value's limit, left free
constexpr size_t kMinValue = 1024;  // what any state service should take
constexpr int kMinOps = 4;
constexpr size_t kDroppedAtOnce = 3;
}  // namespace

std::string segment_key(uint64_t number) { return fmt::format("{}{:016}", kSegmentPrefix, number); }
uint64_t segment_number(const std::string& key) {
    uint64_t number = 0;
    auto* last = key.data() + key.size();
    if (key.size() <= kSegmentPrefix.size()) read::bad("key");
    auto [end, ec] = std::from_chars(key.data() + kSegmentPrefix.size(), last, number);
    if (ec != std::errc() || end != last) read::bad("key");
    return number;
}

TaskRow parse_row(const json::value& v, size_t tasks) {
    if (!v.is_array()) read::bad("row");
    auto& row = v.get_array();
    auto number = [&](size_t k) {
        boost::system::error_code bad;
        auto n = k < row.size() ? row[k].to_number<uint32_t>(bad) : 0;
        if (bad || k >= row.size()) read::bad("row");
        return n;
    };
    TaskRow out;
    out.first = out.last = number(0);
    if (row.size() == 3 && row[2].is_string()) {
        out.state = TaskState::Done;
        out.last = number(1);
    } else if (row.size() == 4 && row[3].is_string()) {
        out.state = TaskState::Placed;
        out.attempt = number(1);
        out.agent_epoch = number(2);
        out.machine = std::string(row[3].get_string());
    } else if (row.size() == 2) {
        out.attempt = number(1);
    } else {
        read::bad("row");
    }
    if (out.last < out.first || out.last >= tasks) read::bad("row");
    return out;
}

std::string final_key(const std::string& id) { return "f/" + id; }

// Entries of a segment: ["j", {job, at, ready, cancelled}] a job, ["c", id] its cancellation, ["e",
// id, when] its end, ["t", id, row...] its tasks. Rows: [task, attempt] waiting, [task, attempt,
// session, machine] placed, [first, last, "d"] done. A job too long for one entry: ["p", id,
// number, text] the pieces of `job`, then ["j", {id, pieces, at, ready, cancelled}]. `ready`,
// `when` and pieces appear with pipelines only: versions without them read the rest.
namespace {

// A cancellation that was asked for goes into every record that is written from then on: its own
// entry may stand in front of the job told anew, by the same transaction even, and is passed over
// once the segments with the job's first record are gone. A job whose user had been told that it is
// cancelled was once brought back so.
json::object job_head(const Job& job) {
    json::object o{{"at", job.submitted}};
    if (job.ready > 0) o["ready"] = job.ready;
    if (job.cancelled) o["cancelled"] = true;
    return o;
}

json::object job_body(const Job& job, Index index, const ClusterState& cluster) {
    auto body = submission_json(job.spec, cluster.names);
    if (job.waits && !job.cancel_recorded) {
        json::array awaits;
        for (auto d : cluster.dependencies().of(index))
            awaits.emplace_back(cluster.jobs[d]->spec.id);
        body["awaits"] = std::move(awaits);
    }
    return body;
}

// What stands behind the pieces of a long record.
std::string record_head(const Job& job, size_t pieces) {
    auto head = job_head(job);
    head["id"] = job.spec.id;
    head["pieces"] = pieces;
    return json::serialize(json::array{"j", std::move(head)});
}
}  // namespace

std::string job_record(const Job& job, Index index, const ClusterState& cluster) {
    json::object o{{"job", job_body(job, index, cluster)}};
    for (auto& field : job_head(job)) o.insert(field);
    return json::serialize(json::array{"j", std::move(o)});
}

std::string final_record(JobState state, uint32_t done) {
    return json::serialize(
        json::object{{"cancelled", state == JobState::Cancelled}, {"done", done}});
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

// When it ended is told where others waited for it: their times count from there.
std::string end_entry(const Job& job, bool awaited) {
    if (!awaited) return short_entry("e", job.spec.id);
    return json::serialize(json::array{"e", job.spec.id, job.ended});
}

// `rows`: as add_row writes them, each with its comma.
std::string tasks_entry(const std::string& id, const std::string& rows) {
    return fmt::format("[\"t\",{}{}]", quoted(id), rows);
}

// One row; a run of done tasks is one. Returns the task after it.
uint32_t add_row(std::string& text, const Job& job, uint32_t t, uint32_t end,
                 const ClusterState& cluster) {
    auto& task = job.tasks[t];
    auto out = std::back_inserter(text);
    if (task.state == TaskState::Done) {
        uint32_t last = t;
        while (last + 1 < end && job.tasks[last + 1].state == TaskState::Done) ++last;
        fmt::format_to(out, ",[{},{},\"d\"]", t, last);
        return last + 1;
    }
    if (task.state == TaskState::Placed)
        fmt::format_to(out, ",[{},{},{},{}]", t, task.attempt, task.agent_epoch,
                       quoted(cluster.machines[task.machine]->name));
    else
        fmt::format_to(out, ",[{},{}]", t, task.attempt);
    return t + 1;
}

}  // namespace

// What a transaction will write to the log: the open segment with more entries, and further ones
// after it.
struct StateLog::Staged {
    std::vector<StateLogBatch::Written> segments;
    bool open_untouched = false;  // the first of them is the open one, as it stands
    size_t soft, hard, bytes = 0;
    int ops;  // changes that the transaction may still have
    uint64_t next_number;

    void condition(StateLogBatch& b, std::string key, uint64_t version) {
        bytes += key.size() + 40;
        b.txn.conditions.push_back({std::move(key), version});
    }
    bool put(const std::string& entry) {
        bool fits = !segments.empty() && segments.back().text.size() + entry.size() + 2 <= soft;
        size_t more = entry.size() + 300;
        if (fits && segments.size() == 1 && open_untouched) more += segments.back().text.size();
        bool costs = !fits || (segments.size() == 1 && open_untouched);
        if ((costs && ops < 1) || bytes + more > kMaxTxnBytes || entry.size() + 2 > hard)
            return false;
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

StateLog::StateLog(ClusterState& cluster, uint64_t fencing_token, StateLogLimits limits)
    : cluster_(cluster), fencing_token_(fencing_token) {
    set_limits(limits.txn_ops, static_cast<size_t>(limits.value_kb * 1024));
}

void StateLog::set_limits(int txn_ops, size_t value_bytes) {
    txn_ops_ = txn_ops;
    hard_limit_ = value_bytes - kSpare;
    soft_limit_ = std::min(hard_limit_, kFull);
    entry_limit_ = std::min(kEntryBytes, hard_limit_ / 2);
}

bool StateLog::shrink() {
    int ops = std::max(kMinOps, txn_ops_ / 2);
    size_t now = hard_limit_ + kSpare, bytes = std::max(kMinValue, now / 2);
    if (ops >= txn_ops_ && bytes >= now) return false;
    set_limits(ops, bytes);
    // What was cut for the larger limits is cut anew. Pieces already recorded are told again from
    // the first.
    telling_.clear();
    cursor_job_ = kNone;
    return true;
}

void StateLog::note(const std::string& key, std::string record) {
    if (record.size() > hard_limit_) {
        // It would never be taken, and all else in its transaction with it.
        spdlog::error("state: a record of {} bytes for {} is too long, not written", record.size(),
                      key);
        return;
    }
    notes_[key].record = std::move(record);
}

bool StateLog::can_hold(Index index) const {
    auto& job = *cluster_.jobs[index];
    auto record = json::serialize(json::array{
        "j",
        json::object{{"job", submission_json(job.spec, cluster_.names)}, {"at", job.submitted}}});
    // And its cancellation, and when it became ready. Pieces are not written while a version that
    // can't read them may still lead; with pipelines all are new.
    return record.size() + 60 <= hard_limit_ || pipelines_used();
}

// Usually one.
std::vector<std::string> StateLog::record_entries(Index index) const {
    auto& job = *cluster_.jobs[index];
    std::vector<std::string> out{job_record(job, index, cluster_)};
    if (fits(out[0])) return out;
    out.clear();
    auto body = json::serialize(job_body(job, index, cluster_));
    // Quoted once more it takes up to twice its length.
    const size_t most = hard_limit_ / 2 - 60;
    for (size_t at = 0; at < body.size();) {
        size_t n = std::min(most, body.size() - at);
        while (at + n < body.size() && (body[at + n] & 0xC0) == 0x80)
            --n;  // not within a character
        out.push_back(fmt::format("[\"p\",{},{},{}]", quoted(job.spec.id), out.size(),
                                  quoted(body.substr(at, n))));
        at += n;
    }
    out.push_back(record_head(job, out.size()));
    return out;
}

bool StateLog::waiting() const {
    return !new_jobs_.empty() || !cancels_.empty() || !finishes_.empty() ||
           !cluster_.changes.empty() || !forgets_.empty() || retelling_ != 0 ||
           std::any_of(notes_.begin(), notes_.end(),
                       [](auto& n) { return !n.second.record.empty(); });
}

StateLogBatch StateLog::next(int ops) {
    StateLogBatch b;
    ops = std::min(ops, txn_ops_);
    b.through = cluster_.recorded_through;
    b.first = first_;
    Staged s{{}, !open_.empty(), soft_limit_, hard_limit_, 0, ops, next_number_};
    if (!open_.empty()) s.segments.push_back({segments_.back().number, open_});
    auto condition = [&](std::string key, uint64_t version) {
        s.condition(b, std::move(key), version);
    };
    auto change = [&](std::string key, std::string value) {
        s.bytes += key.size() + value.size() + 40;
        b.txn.changes.push_back({std::move(key), std::move(value), 0});
    };
    condition(kLeaderKey, fencing_token_);
    // With every drop the head changes: a late copy can't bring a dropped segment back.
    condition(kLogKey, head_version_);

    while (!cancels_.empty()) {
        auto index = cancels_.front();
        if (!s.put(short_entry("c", cluster_.jobs[index]->spec.id))) break;
        cancels_.pop_front();
        b.entries.push_back({EntryKind::Cancel, index, {}});
        b.urgent = true;
    }
    tell_new_jobs(s, b);
    while (!finishes_.empty() && s.ops >= 1) {
        auto index = finishes_.front();
        auto& job = *cluster_.jobs[index];
        // Its final state takes a change of its own, which the log must leave.
        --s.ops;
        if (!s.put(end_entry(job, !cluster_.dependencies().dependants(index).empty()))) {
            ++s.ops;
            break;
        }
        finishes_.pop_front();
        condition(final_key(job.spec.id), 0);
        FinalState ended{job.cancelled ? JobState::Cancelled : JobState::Done, job.done};
        change(final_key(job.spec.id), final_record(ended.state, ended.done));
        b.entries.push_back({EntryKind::Finish, index, {}, false, 0, ended});
    }
    tell_tasks(s, b);
    retell(s, b);
    for (auto& [key, note] : notes_) {
        if (note.record.empty() || s.ops < 1 || s.bytes + note.record.size() > kMaxTxnBytes)
            continue;
        condition(key, note.version);
        change(key, std::move(note.record));
        note.record.clear();
        --s.ops;
        b.entries.push_back({EntryKind::Note, kNone, key});
    }
    tell_forgets(s, b);
    if (s.open_untouched) s.segments.erase(s.segments.begin());
    // The log first: its keys tell an unsure sender whether the transaction was applied.
    std::vector<KvChange> log;
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

// A job whose record takes several entries lets those behind it go first: it takes a few
// transactions.
void StateLog::tell_new_jobs(Staged& s, StateLogBatch& b) {
    for (auto it = new_jobs_.begin(); it != new_jobs_.end();) {
        // A condition for each change, for the leadership and for the head; the rest is for new
        // jobs, two each.
        if (2 * b.bases.size() + 4 > 3 * static_cast<size_t>(txn_ops_)) return;
        Index index = *it;
        auto& job = *cluster_.jobs[index];
        auto found = telling_.find(index);
        std::vector<std::string> fresh;
        if (found == telling_.end()) fresh = record_entries(index);
        if (fresh.size() > 1) found = telling_.emplace(index, Telling{std::move(fresh)}).first;
        uint64_t base = 0;
        if (found == telling_.end()) {
            if (!s.put(fresh[0])) return;
            base = s.number();
        } else {
            auto& [entries, adoption_recorded, first] = found->second;
            size_t n = adoption_recorded, until = s.bytes + kRetoldAtOnce;
            base = first;
            while (n + 1 < entries.size() && s.bytes < until && s.put(entries[n])) {
                if (n++ == 0) base = s.number();
            }
            if (n > adoption_recorded) b.adoption_recorded.push_back({index, n, base});
            // Its last entry says what may have changed since the first.
            if (n + 1 < entries.size() || !s.put(record_head(job, n))) {
                ++it;
                continue;
            }
        }
        it = new_jobs_.erase(it);
        s.condition(b, final_key(job.spec.id), 0);
        // Nor was it accepted by a door, and maybe cancelled there, behind this leader's back.
        auto standby = pending_versions_.find(index);
        s.condition(b, pending_key(job.spec.id),
                    standby == pending_versions_.end() ? 0 : standby->second);
        b.entries.push_back({EntryKind::NewJob, index, {}, job.cancel_recorded});
        b.bases.emplace_back(index, base);
        b.urgent = true;
    }
}

// Changes of tasks, in order, as far as they fit; of several to one task only the newest.
void StateLog::tell_tasks(Staged& s, StateLogBatch& b) {
    auto& queue = cluster_.changes;
    while (!queue.empty()) {
        Index index = queue.front().ref.job;
        std::string text;
        std::vector<TaskChange> adoption_recorded;
        size_t n = 0;
        uint64_t through = b.through;
        for (; n < queue.size() && text.size() < entry_limit_; ++n) {
            auto& c = queue[n];
            if (c.ref.job != index) break;
            through = c.change;
            // The end of a job replaces all of this.
            if (!cluster_.current(c) || cluster_.jobs[index]->ending) continue;
            add_row(text, *cluster_.jobs[index], c.ref.task, c.ref.task + 1, cluster_);
            adoption_recorded.push_back(c);
        }
        if (!text.empty() && !s.put(tasks_entry(cluster_.jobs[index]->spec.id, text))) return;
        b.tasks.insert(b.tasks.end(), adoption_recorded.begin(), adoption_recorded.end());
        b.through = through;
        queue.erase(queue.begin(), queue.begin() + static_cast<long>(n));
    }
}

// Half of what a transaction may have is left for users who come next; but one goes with each that
// has room, as on a busy day there is never more.
void StateLog::tell_forgets(Staged& s, StateLogBatch& b) {
    for (int n = std::max(1, s.ops - txn_ops_ / 2); n > 0 && s.ops > 0 && !forgets_.empty();
         --n, --s.ops) {
        auto& [key, version] = forgets_.front();
        s.condition(b, key, version);
        b.txn.changes.push_back({key, "", 0});
        b.entries.push_back({EntryKind::Forget, kNone, key, false, version});
        forgets_.pop_front();
    }
}

// Segments that what is alive should take, with as much again for what is not.
size_t StateLog::wanted_segments() const {
    size_t bytes = 0;
    for (auto& job : cluster_.jobs)
        if (job) bytes += 500 + 40 * size_t{job->placed} + 14 * size_t{job->done};
    return 4 + 2 * bytes / soft_limit_;
}

// Jobs that the oldest segments tell of are told anew, some at a time.
void StateLog::retell(Staged& s, StateLogBatch& b) {
    if (retelling_ == 0) return;
    size_t until = s.bytes + kRetoldAtOnce;
    for (Index j = 0; j < cluster_.jobs.size() && s.bytes < until; ++j) {
        auto* job = cluster_.jobs[j].get();
        if (!job || job->version == 0 || job->base > retelling_ || job->ending) continue;
        if (cursor_job_ != kNone && cursor_job_ != j) {
            auto* other = cluster_.jobs[cursor_job_].get();
            if (other && other->version != 0 && other->base <= retelling_ && !other->ending)
                continue;  // one after the other
            cursor_job_ = kNone;
        }
        if (std::any_of(b.bases.begin(), b.bases.end(), [&](auto& x) { return x.first == j; }))
            continue;
        if (cursor_job_ == kNone) {
            auto entries = record_entries(j);
            if (entries.size() > 1 && !pipelines_used()) {
                // Of a version that wrote longer values, and told in pieces it could not be read by
                // that version: its segment stays. Nothing else has to wait for that.
                retelling_ = 0;
                retell_above_ = 2 * segments_.size();
                return;
            }
            cursor_record_.assign(entries.begin(), entries.end());
            cursor_job_ = j;
            cursor_task_ = 0;
            cursor_base_ = 0;
        }
        while (!cursor_record_.empty()) {
            // The last of several says what may have changed since the first.
            bool last_of_several = cursor_record_.size() == 1 && cursor_base_ != 0;
            if (last_of_several) cursor_record_.front() = record_head(*job, cursor_pieces_);
            if ((cursor_base_ != 0 && s.bytes >= until) || !s.put(cursor_record_.front())) {
                if (cursor_base_ == 0) cursor_job_ = kNone;  // nothing of it is told yet
                return;
            }
            if (cursor_base_ == 0) {
                cursor_base_ = s.number();
                cursor_pieces_ = cursor_record_.size() - 1;
            }
            cursor_record_.pop_front();
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
                    t = add_row(text, *job, t, end, cluster_);
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
void StateLog::drop(StateLogBatch& b, int ops) {
    if (retelling_ == 0 || ops < 2) return;
    for (auto& job : cluster_.jobs)
        if (job && job->version != 0 && job->base <= retelling_) return;
    for (auto& [j, t] : telling_)
        if (t.adoption_recorded > 0 && t.base <= retelling_) return;
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

void StateLog::committed(const StateLogBatch& batch, uint64_t revision) {
    cluster_.recorded_through = std::max(cluster_.recorded_through, batch.through);
    for (auto& w : batch.segments) {
        if (!segments_.empty() && segments_.back().number == w.number)
            segments_.back().version = revision;
        else
            segments_.push_back({w.number, revision});
        open_ = w.text;
        next_number_ = std::max(next_number_, w.number + 1);
    }
    for (auto& [j, base] : batch.bases)
        if (cluster_.jobs[j]) cluster_.jobs[j]->base = base;
    for (auto& [j, n, base] : batch.adoption_recorded)
        if (auto it = telling_.find(j); it != telling_.end())
            it->second.adoption_recorded = n, it->second.base = base;
    for (auto& e : batch.entries) {
        auto* job = e.job == kNone ? nullptr : cluster_.jobs[e.job].get();
        if (e.kind == EntryKind::Cancel) job->cancel_recorded = job->cancel_logged = true;
        if (e.kind == EntryKind::NewJob) {
            job->version = revision;
            job->cancel_logged = e.cancelled;
            telling_.erase(e.job);
            pending_versions_.erase(e.job);
        }
        if (e.kind == EntryKind::Note) notes_[e.key].version = revision;
    }
    if (batch.first != first_) {
        while (!segments_.empty() && segments_.front().number < batch.first) segments_.pop_front();
        first_ = batch.first;
        head_version_ = revision;
        if (segments_.empty() || segments_.front().number > retelling_) retelling_ = 0;
        if (segments_.empty()) open_.clear();
    }
    // The oldest, and never the open one. As many at once as one transaction can drop beside the
    // new head: where values are short, a transaction for each took a third of all changes.
    size_t at_once = std::clamp<size_t>(static_cast<size_t>(txn_ops_) - 1, 1, kDroppedAtOnce);
    if (retelling_ == 0 &&
        segments_.size() > std::max(retell_above_, wanted_segments() + at_once)) {
        retelling_ = segments_[at_once - 1].number;
        retell_above_ = 0;
        cursor_job_ = kNone;
    }
}

void StateLog::rejected(const StateLogBatch& batch) {
    for (auto it = batch.tasks.rbegin(); it != batch.tasks.rend(); ++it)
        if (cluster_.current(*it)) cluster_.changes.push_front(*it);
    cursor_job_ = kNone;
    for (auto it = batch.entries.rbegin(); it != batch.entries.rend(); ++it) {
        auto& e = *it;
        if (e.kind == EntryKind::Cancel) cancels_.push_front(e.job);
        if (e.kind == EntryKind::Finish) finishes_.push_front(e.job);
        if (e.kind == EntryKind::NewJob) telling_.erase(e.job), pending_versions_.erase(e.job);
        if (e.kind == EntryKind::Forget && !e.key.empty()) forgets_.emplace_front(e.key, e.version);
        if (e.kind != EntryKind::Note) continue;
        // A newer value may have come meanwhile.
        if (notes_[e.key].record.empty())
            for (auto& c : batch.txn.changes)
                if (c.key == e.key) note(e.key, c.value);
    }
}

void StateLog::clear() {
    new_jobs_.clear();
    cancels_.clear();
    finishes_.clear();
    forgets_.clear();
    pending_versions_.clear();
    notes_.clear();
    segments_.clear();
    open_.clear();
    loading_.clear();
    loading_pieces_.clear();
    loading_ended_.clear();
    telling_.clear();
    pipelines_ = false;
    next_number_ = 1;
    retell_above_ = 0;
    head_version_ = first_ = retelling_ = 0;
    cursor_job_ = kNone;
}

void StateLog::load_head(const KvItem& item) {
    first_ = read::count(read::object(item.value), "first");
    head_version_ = item.version;
    next_number_ = std::max(next_number_, first_);
}

void StateLog::load_segment(const KvItem& item, double now) {
    uint64_t number = segment_number(item.key);
    if (number < next_number_) read::bad("key");
    if (!item.value.is_array()) read::bad("segment");
    for (auto& v : item.value.get_array()) {
        if (!v.is_array() || v.get_array().size() < 2) read::bad("entry");
        next_number_ = number;  // for the base of jobs that it tells of
        load_entry(v.get_array(), now);
    }
    segments_.push_back({number, item.version});
    next_number_ = number + 1;
}

void StateLog::load_entry(const json::array& entry, double now) {
    if (!entry[0].is_string()) read::bad("entry");
    std::string_view tag = entry[0].get_string();
    if (tag == "j") {
        auto& o = read::object(entry[1]);
        if (read::field(o, "pieces")) {
            pipelines_ = true;
            auto found = loading_pieces_.find(read::text(o, "id"));
            // Its first pieces stood in a segment that is gone by now: it has ended, or is told
            // anew.
            if (found == loading_pieces_.end() || found->second.next != read::count(o, "pieces"))
                return;
            auto pieces = std::move(found->second);
            loading_pieces_.erase(found);
            return load_job(o, read::parse(pieces.body), pieces.base, now);
        }
        auto* body = read::field(o, "job");
        if (!body) read::bad("job");
        return load_job(o, *body, next_number_, now);
    }
    if (!entry[1].is_string()) read::bad("entry");
    std::string id(entry[1].get_string());
    if (tag == "p") {
        if (entry.size() < 4 || !entry[3].is_string()) read::bad("piece");
        boost::system::error_code bad;
        auto n = entry[2].to_number<uint64_t>(bad);
        if (bad) read::bad("piece");
        pipelines_ = true;
        if (n == 0) loading_pieces_[id] = {"", 0, next_number_};
        auto found = loading_pieces_.find(id);
        if (found == loading_pieces_.end() || found->second.next != n) return;
        found->second.body += entry[3].get_string();
        ++found->second.next;
        return;
    }
    if (tag == "e" && entry.size() > 2) {
        if (!entry[2].is_number()) read::bad("when");
        pipelines_ = true;
        loading_ended_[id] = entry[2].to_number<double>();
    }
    auto it = cluster_.job_index.find(id);
    // A job of which an earlier segment told that is gone by now: it has ended, or is told anew
    // further on.
    if (it == cluster_.job_index.end()) return;
    Index index = it->second;
    auto& job = *cluster_.jobs[index];
    if (tag == "c") {
        job.cancelled = job.cancel_recorded = job.cancel_logged = true;
    } else if (tag == "e") {
        loading_.erase(index);
        for (auto& task : job.tasks) task.state = TaskState::Pending;  // none is on a machine yet
        cluster_.remove_job(index, now);
    } else if (tag == "t") {
        auto& names = loading_[index];
        names.resize(job.tasks.size());
        for (size_t i = 2; i < entry.size(); ++i) {
            auto row = parse_row(entry[i], job.tasks.size());
            for (uint32_t k = row.first; k <= row.last; ++k) {
                auto& task = job.tasks[k];
                task.state = row.state;
                names[k] = row.machine;
                if (row.state == TaskState::Done) continue;
                task.attempt = row.attempt;
                if (row.state == TaskState::Placed) task.agent_epoch = row.agent_epoch;
            }
        }
    } else {
        read::bad("entry");
    }
}

void StateLog::load_job(const json::object& record, const json::value& body, uint64_t base,
                        double now) {
    auto spec = parse_submission(body, cluster_.names);
    if (spec.team == kNone) read::bad("job.team");
    bool cancelled = read::flag(record, "cancelled", false);
    double ready = read::number(record, "ready", 0, 1e12);
    pipelines_ = pipelines_ || ready > 0 || !spec.dependencies.empty();
    auto it = cluster_.job_index.find(spec.id);
    // Told anew: what came before stands, and what follows repeats it. Only what it waits for may
    // have become less.
    if (it != cluster_.job_index.end())
        cluster_.jobs[it->second]->spec.dependencies = std::move(spec.dependencies);
    auto index = it != cluster_.job_index.end()
                     ? it->second
                     : cluster_.add_job(std::move(spec), read::number(record, "at", {}, 1e12), now);
    auto& job = *cluster_.jobs[index];
    if (job.version == 0) {
        job.version = 1;
        job.base = base;
    }
    job.ready = std::max(job.ready, ready);
    if (cancelled) job.cancelled = job.cancel_recorded = job.cancel_logged = true;
}

// A dependency that is not alive once the whole log is read has ended as done: its dependants were
// accepted after it, and a cancelled job leaves the log only after the cancellations of all that
// wait for it.
void StateLog::load_dependencies(double now) {
    for (Index j = 0; j < cluster_.jobs.size(); ++j) {
        auto* job = cluster_.jobs[j].get();
        if (!job || !job->waits) continue;
        std::vector<Index> alive;
        for (auto& id : job->spec.dependencies) {
            if (auto it = cluster_.job_index.find(id); it != cluster_.job_index.end())
                alive.push_back(it->second);
            else if (auto ended = loading_ended_.find(id); ended != loading_ended_.end())
                job->ready = std::max(job->ready, ended->second);
        }
        if (job->cancelled) alive.clear();
        cluster_.set_dependencies(j, alive, now);
    }
    // One recorded cancellation is that of all who need the job.
    for (Index j = 0; j < cluster_.jobs.size(); ++j)
        if (cluster_.jobs[j] && cluster_.jobs[j]->cancel_logged)
            for (auto d : cluster_.cancel_dependants(j)) cancels_.push_back(d);
}

void StateLog::loaded(double now) {
    load_dependencies(now);
    loading_pieces_.clear();
    loading_ended_.clear();
    for (Index j = 0; j < cluster_.jobs.size(); ++j)
        if (cluster_.jobs[j]) cluster_.restore_counts(j);
    for (auto& job : cluster_.jobs)
        if (job && !job->waits) cluster_.mark_guaranteed(*job);
    for (auto& [j, names] : loading_)
        for (uint32_t t = 0; t < names.size(); ++t) {
            if (names[t].empty()) continue;
            auto& task = cluster_.jobs[j]->tasks[t];
            cluster_.restore_placed(j, t, cluster_.add_machine(names[t], now), task.attempt,
                                    task.agent_epoch);
        }
    loading_.clear();
}

}  // namespace weirmill
