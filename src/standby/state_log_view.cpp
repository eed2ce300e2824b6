#include "standby/state_log_view.h"

#include <algorithm>

#include "state/state_log_codec.h"

namespace weirmill {

namespace json = boost::json;

namespace {
constexpr size_t kMaxRecentEnds = 4096;  // remembered for may_have_ended()
}

void StateLogView::clear() {
    auto next_end = job_ends_read();
    *this = StateLogView();
    first_recent_end_ = next_end + 1;  // makes may_have_ended() true for all earlier numbers
}

std::string StateLogView::resume_after() const {
    return newest_segment_ > 0 ? segment_key(newest_segment_ - 1) : "";
}

bool StateLogView::advance_to_segment(uint64_t number, size_t entry_count) {
    if (newest_segment_ == 0 || number == newest_segment_ + 1) {
        newest_segment_ = number;
        newest_segment_entries_ = 0;
        return true;
    }
    return number == newest_segment_ && entry_count >= newest_segment_entries_;
}

bool StateLogView::apply_page(const KvPage& page, bool first_page) {
    if (first_page && newest_segment_ > 0 &&
        (page.items.empty() || page.items[0].key != segment_key(newest_segment_)))
        return false;
    for (auto& item : page.items) {
        uint64_t number = segment_number(item.key);
        if (number == 0) read::throw_invalid("key");
        if (!item.value.is_array()) read::throw_invalid("segment");
        auto& entries = item.value.get_array();
        if (!advance_to_segment(number, entries.size())) return false;
        for (; newest_segment_entries_ < entries.size(); ++newest_segment_entries_) {
            auto& entry = entries[newest_segment_entries_];
            apply_entry(parse_entry(entry));
        }
    }
    return true;
}

const StateLogView::Job* StateLogView::find(const std::string& id) const {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

bool StateLogView::is_cancelled(const std::string& id) const {
    std::vector<const std::string*> unvisited{&id};
    std::unordered_set<std::string> seen{id};
    while (!unvisited.empty()) {
        auto* job = find(*unvisited.back());
        unvisited.pop_back();
        // A dependency that is no longer in the log ended as done: the end of a cancelled job is
        // logged only after the cancellations of the jobs that depend on it.
        if (!job) continue;
        if (job->cancelled) return true;
        for (auto& dependency : job->dependencies)
            if (seen.insert(dependency).second) unvisited.push_back(&dependency);
    }
    return false;
}

bool StateLogView::may_have_ended(const std::string& id, uint64_t since) const {
    if (since < first_recent_end_) return true;
    auto first = recent_ends_.begin() + static_cast<std::ptrdiff_t>(since - first_recent_end_);
    return std::find(first, recent_ends_.end(), id) != recent_ends_.end();
}

void StateLogView::apply_end(const std::string& id) {
    recent_ends_.push_back(id);
    if (recent_ends_.size() > kMaxRecentEnds) {
        recent_ends_.pop_front();
        ++first_recent_end_;
    }
    auto it = jobs_.find(id);
    if (it == jobs_.end()) return;
    task_count_ -= it->second.task_states.size();
    jobs_.erase(it);
}

void StateLogView::apply_entry(const json::array& entry) {
    auto type = entry_type(entry);
    if (type == EntryType::Job) {
        auto record = record_decoder_.decode(entry, newest_segment_);
        if (record) add_job(*record->header, record->body());
        return;
    }
    auto id = entry_job_id(entry);
    if (type == EntryType::JobPart) return record_decoder_.add_part(entry, newest_segment_);
    if (type == EntryType::End) return apply_end(id);
    if (type == EntryType::Unknown) read::throw_invalid("entry");
    auto it = jobs_.find(id);
    if (it == jobs_.end()) return;
    if (type == EntryType::Cancel)
        it->second.cancelled = true;
    else
        apply_task_rows(it->second, entry);
}

void StateLogView::add_job(const json::object& record, const json::value& body) {
    auto& submission = read::object(body);
    auto id = read::text(submission, "name_id");
    auto tasks = read::count(submission, "lots");
    if (tasks < 1 || tasks > kMaxTasksPerJob) read::throw_invalid("lots");
    auto& job = jobs_[id];
    job.cancelled = job.cancelled || read::flag(record, "cancelled", false);
    job.dependencies.clear();  // a job that is recorded again may have fewer left
    if (read::field(submission, "awaits"))
        for (auto& dependency : read::array(submission, "awaits"))
            if (dependency.is_string()) job.dependencies.emplace_back(dependency.get_string());
    if (!job.task_states.empty()) return;
    job.task_states.resize(tasks, static_cast<uint8_t>(TaskState::Pending));
    task_count_ += tasks;
}

void StateLogView::apply_task_rows(Job& job, const json::array& entry) {
    auto set_state = [&](uint64_t task, TaskState state) {
        auto previous = static_cast<TaskState>(job.task_states[task]);
        job.done += (state == TaskState::Done) - (previous == TaskState::Done);
        job.placed += (state == TaskState::Placed) - (previous == TaskState::Placed);
        job.task_states[task] = static_cast<uint8_t>(state);
    };
    for (size_t i = 2; i < entry.size(); ++i) {
        auto row = parse_task_row(entry[i], job.task_states.size());
        for (uint32_t task = row.first; task <= row.last; ++task) set_state(task, row.state);
    }
}

}  // namespace weirmill
