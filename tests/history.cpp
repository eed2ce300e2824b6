#include "history.h"

#include <algorithm>

namespace weirmill::test {

namespace {

bool confirmed(const Exchange& e) { return e.status == 200 || e.status == 201; }
bool is_end(const std::string& state) { return state == "done" || state == "aborted"; }

std::string text(const Exchange& e) {
    const char* const what[] = {"submission", "poll", "cancellation"};
    return std::string(what[static_cast<int>(e.asking)]) + " of " + e.job + " asked at " +
           std::to_string(e.asked) + ", answered at " + std::to_string(e.answered) +
           (e.where.empty() ? "" : " by " + e.where) + ": " + std::to_string(e.status) + " " +
           e.state;
}

}  // namespace

// A cancellation of the job, or of one that it needs, was asked for by then.
bool History::cancel_asked(const std::string& job, double by, std::set<std::string>& seen) const {
    if (!seen.insert(job).second) return false;
    for (auto& e : exchanges)
        if (e.asking == Asking::Cancellation && e.job == job && e.asked <= by) return true;
    auto on = awaits.find(job);
    return on != awaits.end() && std::any_of(on->second.begin(), on->second.end(),
                                             [&](auto& d) { return cancel_asked(d, by, seen); });
}

std::string History::contradiction() const {
    std::map<std::string, std::vector<const Exchange*>> by_job;
    for (auto& e : exchanges) by_job[e.job].push_back(&e);
    for (auto& [job, all] : by_job) {
        // The first answer of each kind: what was asked after it must not be older.
        const Exchange *known = nullptr, *end = nullptr;
        double submitted = std::numeric_limits<double>::infinity();
        for (auto* e : all) {
            if (e->asking == Asking::Submission) submitted = std::min(submitted, e->asked);
            if (!confirmed(*e)) continue;
            if (!known || e->answered < known->answered) known = e;
            if (is_end(e->state) && (!end || e->answered < end->answered)) end = e;
        }
        for (auto* e : all) {
            bool after = known && e->asked > known->answered;
            if (confirmed(*e)) {
                if (e->answered < submitted) return "invented: " + text(*e);
                if (end && is_end(e->state) && e->state != end->state)
                    return "went_back: " + text(*e) + " beside " + text(*end);
                if (end && e->asked > end->answered && e->state != end->state)
                    return "went_back: " + text(*e) + " after " + text(*end);
                std::set<std::string> seen;
                if (e->state == "aborted" && !cancel_asked(job, e->answered, seen))
                    return "went_back: nobody asked for it: " + text(*e);
                auto it = ended.find(job);
                if (e->state == "done" && it != ended.end() && e->answered < it->second)
                    return "not_done: " + text(*e);
                if (e->asking == Asking::Cancellation && !is_end(e->state))
                    return "neither cancelled nor ended: " + text(*e);
            } else if (after && (e->status == 404 || (e->asking == Asking::Submission &&
                                                      (e->status == 400 || e->status == 422)))) {
                return "forgotten: " + text(*e) + " after " + text(*known);
            }
        }
    }
    return "";
}

}  // namespace weirmill::test
