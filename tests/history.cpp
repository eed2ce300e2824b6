#include "history.h"

#include <algorithm>

namespace weirmill::test {

namespace {

bool confirmed(const RequestRecord& request) {
    return request.status == 200 || request.status == 201;
}
bool is_final(const std::string& state) { return state == "done" || state == "aborted"; }

std::string describe(const RequestRecord& request) {
    const char* const what[] = {"submission", "poll", "cancellation"};
    return std::string(what[static_cast<int>(request.kind)]) + " of " + request.job + " asked at " +
           std::to_string(request.sent_at) + ", answered at " +
           std::to_string(request.answered_at) +
           (request.node.empty() ? "" : " by " + request.node) + ": " +
           std::to_string(request.status) + " " + request.job_status;
}

}  // namespace

// Returns whether a cancellation of the job or of a job that it depends on was requested by then.
bool RequestHistory::cancel_requested(const std::string& job, double by,
                                      std::set<std::string>& seen) const {
    if (!seen.insert(job).second) return false;
    for (auto& request : requests)
        if (request.kind == RequestKind::Cancellation && request.job == job &&
            request.sent_at <= by)
            return true;
    auto found = dependencies.find(job);
    return found != dependencies.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](auto& d) { return cancel_requested(d, by, seen); });
}

std::string RequestHistory::find_violation() const {
    std::map<std::string, std::vector<const RequestRecord*>> by_job;
    for (auto& request : requests) by_job[request.job].push_back(&request);
    for (auto& [job, all] : by_job) {
        // The earliest confirmation and the earliest final state: responses to later requests must
        // not contradict them.
        const RequestRecord *first_confirmed = nullptr, *first_final = nullptr;
        double submitted = std::numeric_limits<double>::infinity();
        for (auto* request : all) {
            if (request->kind == RequestKind::Submission)
                submitted = std::min(submitted, request->sent_at);
            if (!confirmed(*request)) continue;
            if (!first_confirmed || request->answered_at < first_confirmed->answered_at)
                first_confirmed = request;
            if (is_final(request->job_status) &&
                (!first_final || request->answered_at < first_final->answered_at))
                first_final = request;
        }
        for (auto* request : all) {
            bool follows_confirmation =
                first_confirmed && request->sent_at > first_confirmed->answered_at;
            if (confirmed(*request)) {
                if (request->answered_at < submitted) return "invented: " + describe(*request);
                if (first_final && is_final(request->job_status) &&
                    request->job_status != first_final->job_status)
                    return "went_back: " + describe(*request) + " beside " + describe(*first_final);
                if (first_final && request->sent_at > first_final->answered_at &&
                    request->job_status != first_final->job_status)
                    return "went_back: " + describe(*request) + " after " + describe(*first_final);
                std::set<std::string> seen;
                if (request->job_status == "aborted" &&
                    !cancel_requested(job, request->answered_at, seen))
                    return "went_back: nobody asked for it: " + describe(*request);
                auto it = job_ended_at.find(job);
                if (request->job_status == "done" && it != job_ended_at.end() &&
                    request->answered_at < it->second)
                    return "not_done: " + describe(*request);
                if (request->kind == RequestKind::Cancellation && !is_final(request->job_status))
                    return "neither cancelled nor ended: " + describe(*request);
            } else if (follows_confirmation &&
                       (request->status == 404 ||
                        (request->kind == RequestKind::Submission &&
                         (request->status == 400 || request->status == 422)))) {
                return "forgotten: " + describe(*request) + " after " + describe(*first_confirmed);
            }
        }
    }
    return "";
}

}  // namespace weirmill::test
