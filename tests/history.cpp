#include "history.h"

#include <algorithm>

namespace weirmill::test {

namespace {

bool confirmed(const RequestRecord& e) { return e.status == 200 || e.status == 201; }
bool is_end(const std::string& state) { return state == "done" || state == "aborted"; }

std::string text(const RequestRecord& e) {
    const char* const what[] = {"submission", "poll", "cancellation"};
    return std::string(what[static_cast<int>(e.kind)]) + " of " + e.job + " asked at " +
           std::to_string(e.sent_at) + ", answered at " + std::to_string(e.answered_at) +
           (e.node.empty() ? "" : " by " + e.node) + ": " + std::to_string(e.status) + " " +
           e.job_status;
}

}  // namespace

// A cancellation of the job, or of one that it needs, was asked for by then.
bool RequestHistory::cancel_requested(const std::string& job, double by,
                                      std::set<std::string>& seen) const {
    if (!seen.insert(job).second) return false;
    for (auto& e : requests)
        if (e.kind == RequestKind::Cancellation && e.job == job && e.sent_at <= by) return true;
    auto on = dependencies.find(job);
    return on != dependencies.end() &&
           std::any_of(on->second.begin(), on->second.end(),
                       [&](auto& d) { return cancel_requested(d, by, seen); });
}

std::string RequestHistory::find_violation() const {
    std::map<std::string, std::vector<const RequestRecord*>> by_job;
    for (auto& e : requests) by_job[e.job].push_back(&e);
    for (auto& [job, all] : by_job) {
        // The first answer of each kind: what was asked after it must not be older.
        const RequestRecord *known = nullptr, *end = nullptr;
        double submitted = std::numeric_limits<double>::infinity();
        for (auto* e : all) {
            if (e->kind == RequestKind::Submission) submitted = std::min(submitted, e->sent_at);
            if (!confirmed(*e)) continue;
            if (!known || e->answered_at < known->answered_at) known = e;
            if (is_end(e->job_status) && (!end || e->answered_at < end->answered_at)) end = e;
        }
        for (auto* e : all) {
            bool after = known && e->sent_at > known->answered_at;
            if (confirmed(*e)) {
                if (e->answered_at < submitted) return "invented: " + text(*e);
                if (end && is_end(e->job_status) && e->job_status != end->job_status)
                    return "went_back: " + text(*e) + " beside " + text(*end);
                if (end && e->sent_at > end->answered_at && e->job_status != end->job_status)
                    return "went_back: " + text(*e) + " after " + text(*end);
                std::set<std::string> seen;
                if (e->job_status == "aborted" && !cancel_requested(job, e->answered_at, seen))
                    return "went_back: nobody asked for it: " + text(*e);
                auto it = job_ended_at.find(job);
                if (e->job_status == "done" && it != job_ended_at.end() &&
                    e->answered_at < it->second)
                    return "not_done: " + text(*e);
                if (e->kind == RequestKind::Cancellation && !is_end(e->job_status))
                    return "neither cancelled nor ended: " + text(*e);
            } else if (after && (e->status == 404 || (e->kind == RequestKind::Submission &&
                                                      (e->status == 400 || e->status == 422)))) {
                return "forgotten: " + text(*e) + " after " + text(*known);
            }
        }
    }
    return "";
}

}  // namespace weirmill::test
