#include "standby/state_log_view.h"

#include <algorithm>

#include "state/state_log_codec.h"

namespace weirmill {

namespace json = boost::json;

namespace {
constexpr size_t kMaxEnded = 4096;  // ends of jobs that are kept
}

void StateLogView::clear() {
    auto ends = ends_read();
    *this = StateLogView();
    first_ended_ = ends + 1;  // what ends until it is read anew is not known
}

std::string StateLogView::resume_after() const { return open_ > 0 ? segment_key(open_ - 1) : ""; }

bool StateLogView::enter_segment(uint64_t number, size_t entries) {
    if (open_ == 0 || number == open_ + 1) {
        open_ = number;
        open_read_ = 0;
        return true;
    }
    return number == open_ && entries >= open_read_;
}

bool StateLogView::apply_page(const KvPage& page, bool first_page) {
    if (first_page && open_ > 0 && (page.items.empty() || page.items[0].key != segment_key(open_)))
        return false;
    for (auto& item : page.items) {
        uint64_t number = segment_number(item.key);
        if (number == 0) read::throw_invalid("key");
        if (!item.value.is_array()) read::throw_invalid("segment");
        auto& entries = item.value.get_array();
        if (!enter_segment(number, entries.size())) return false;
        for (; open_read_ < entries.size(); ++open_read_) {
            auto& e = entries[open_read_];
            entry(parse_entry(e));
        }
    }
    return true;
}

const StateLogView::Job* StateLogView::find(const std::string& id) const {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

bool StateLogView::cancelled(const std::string& id) const {
    std::vector<const std::string*> left{&id};
    std::unordered_set<std::string> seen{id};
    while (!left.empty()) {
        auto* job = find(*left.back());
        left.pop_back();
        // It ended as done: the end of a cancelled one is logged after the entries of those that
        // depend on it.
        if (!job) continue;
        if (job->cancelled) return true;
        for (auto& d : job->awaits)
            if (seen.insert(d).second) left.push_back(&d);
    }
    return false;
}

bool StateLogView::may_have_ended(const std::string& id, uint64_t since) const {
    if (since < first_ended_) return true;
    auto first = ended_.begin() + static_cast<std::ptrdiff_t>(since - first_ended_);
    return std::find(first, ended_.end(), id) != ended_.end();
}

void StateLogView::end(const std::string& id) {
    ended_.push_back(id);
    if (ended_.size() > kMaxEnded) {
        ended_.pop_front();
        ++first_ended_;
    }
    auto it = jobs_.find(id);
    if (it == jobs_.end()) return;
    tasks_ -= it->second.tasks.size();
    jobs_.erase(it);
}

void StateLogView::entry(const json::array& e) {
    auto type = entry_type(e);
    if (type == EntryType::Job) {
        auto record = records_.decode(e, open_);
        if (record) add_job(*record->header, record->body());
        return;
    }
    auto id = entry_job_id(e);
    if (type == EntryType::JobPart) return records_.add_part(e, open_);
    if (type == EntryType::End) return end(id);
    if (type == EntryType::Unknown) read::throw_invalid("entry");
    auto it = jobs_.find(id);
    if (it == jobs_.end()) return;
    if (type == EntryType::Cancel)
        it->second.cancelled = true;
    else
        add_rows(it->second, e);
}

void StateLogView::add_job(const json::object& record, const json::value& body) {
    auto& o = read::object(body);
    auto id = read::text(o, "name_id");
    auto tasks = read::count(o, "lots");
    if (tasks < 1 || tasks > kMaxTasksPerJob) read::throw_invalid("lots");
    auto& job = jobs_[id];
    job.cancelled = job.cancelled || read::flag(record, "cancelled", false);
    job.awaits.clear();  // told anew, it may wait for less
    if (read::field(o, "awaits"))
        for (auto& d : read::array(o, "awaits"))
            if (d.is_string()) job.awaits.emplace_back(d.get_string());
    if (!job.tasks.empty()) return;
    job.tasks.resize(tasks, static_cast<uint8_t>(TaskState::Pending));
    tasks_ += tasks;
}

void StateLogView::add_rows(Job& job, const json::array& e) {
    auto set = [&](uint64_t t, TaskState state) {
        auto was = static_cast<TaskState>(job.tasks[t]);
        job.done += (state == TaskState::Done) - (was == TaskState::Done);
        job.placed += (state == TaskState::Placed) - (was == TaskState::Placed);
        job.tasks[t] = static_cast<uint8_t>(state);
    };
    for (size_t i = 2; i < e.size(); ++i) {
        auto row = parse_row(e[i], job.tasks.size());
        for (uint32_t t = row.first; t <= row.last; ++t) set(t, row.state);
    }
}

}  // namespace weirmill
