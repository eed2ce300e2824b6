#include "controller/job_admission.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

namespace weirmill {

namespace asio = boost::asio;

namespace {

// Limits of the reads of final states for one submission.
constexpr size_t kUnthrottledReads = 8;  // the following reads are throttled
constexpr double kReadRateShare = 0.25;  // of the request rate, for throttled reads
constexpr double kMaxReadDuration_s = 1.2;
constexpr double kReadTimeout_s = 0.6;

// Adds the result of one read to `read`. Returns false if the remaining reads are to be skipped,
// because the job was never accepted or the read failed (`complete` is
// then false).
bool add_final_state(const std::string& id, const KvResult<KvItem>& result,
                     DependenciesRead& read) {
    if (result.outcome == KvOutcome::Missing) {
        read.never_accepted_id = id;
        return false;
    }
    auto state = result ? decode_final_state(result.value) : std::nullopt;
    read.complete = state.has_value();
    if (state) read.final_states.emplace_back(id, *state);
    return read.complete;
}

}  // namespace

JobAdmission::JobAdmission(LeaderContext& context, FinalStateCache& final_states,
                           JobCallbacks callbacks,
                           std::function<bool(const std::string&)> is_pending)
    : context_(context),
      final_states_(final_states),
      callbacks_(std::move(callbacks)),
      is_pending_(std::move(is_pending)) {}

DependencyResolution JobAdmission::resolve(const JobSpec& spec) const {
    DependencyResolution out;
    for (auto& id : spec.dependencies) {
        out.invalid = out.invalid || id == spec.id || !valid_job_id(id);
        resolve_dependency(id, out);
    }
    return out;
}

void JobAdmission::resolve_dependency(const std::string& id, DependencyResolution& out) const {
    auto& index = context_.cluster.job_index;
    if (auto it = index.find(id); it != index.end()) {
        auto& job = *context_.cluster.jobs[it->second];
        out.has_unrecorded = out.has_unrecorded || job.record_revision == 0;
        // A cancellation that is not recorded yet propagates to the new job when it is recorded.
        if (job.cancel_durable)
            out.cancelled = true;
        else
            out.live_jobs.push_back(it->second);
        return;
    }
    if (auto* final_state = final_states_.find(id)) {
        out.cancelled = out.cancelled || final_state->state == JobState::Cancelled;
        return;
    }
    if (is_pending_(id)) {
        out.has_unrecorded = true;  // accepted by a standby controller and not adopted yet
        return;
    }
    out.unread.push_back(id);
}

Index JobAdmission::add(JobSpec spec, const DependencyResolution& dependencies,
                        double submitted_wall) {
    if (dependencies.live_jobs.empty() || dependencies.cancelled) spec.dependencies.clear();
    auto index = context_.cluster.add_job(std::move(spec), submitted_wall, context_.now);
    auto& job = *context_.cluster.jobs[index];
    job.submitted_steady = context_.now - std::max(0.0, wall_now() - submitted_wall);
    if (dependencies.cancelled) {
        job.cancelled = true;
        job.cancel_durable = true;  // the record of the new job includes the cancellation
    } else if (job.waits_for_dependencies) {
        context_.cluster.set_dependencies(index, dependencies.live_jobs, context_.now);
    }
    return index;
}

void JobAdmission::drop(Index job) {
    auto dependencies = context_.cluster.dependencies().dependencies_of(job);
    context_.cluster.remove_job(job, context_.now);
    callbacks_.reconcile_cancelled_jobs(dependencies);
}

// Stops the job's tasks without waiting until the cancellation is recorded. The transaction may be
// applied, and a standby controller may report the cancellation, long before this leader receives
// the answer; if the stops waited for the answer, the tasks would keep running for as long as
// transactions are not answered.
void JobAdmission::request_cancellation(Index job) {
    context_.cluster.jobs[job]->cancelled = true;
    context_.state_log.queue_cancellation(job);
    callbacks_.reconcile_job(job);
}

void JobAdmission::read_dependencies(PeerCall call, ReplyPromise reply,
                                     std::vector<std::string> ids, bool for_adoption) {
    DependenciesRead read{std::move(call), std::move(reply), {}, {}, true, for_adoption};
    asio::co_spawn(context_.io,
                   read_sequentially(context_.keep_alive(), std::move(read), std::move(ids)),
                   asio::detached);
}

// Reads one final state after the other, so that a long list does not use up the request rate that
// lease renewals need. The results are cached, so a list that is too long for one call completes
// over several repetitions of the submission.
asio::awaitable<void> JobAdmission::read_sequentially(std::shared_ptr<void> keep_alive,
                                                      DependenciesRead read,
                                                      std::vector<std::string> ids) {
    double deadline = steady_now() + kMaxReadDuration_s;
    double pause_s = 1 / (kReadRateShare * context_.settings.state_rps);
    for (auto& id : ids) {
        if (read.final_states.size() >= kUnthrottledReads) co_await sleep_s(pause_s);
        if (context_.stopped || steady_now() > deadline) {
            read.complete = false;
            break;
        }
        auto result = co_await final_states_.read(id, kReadTimeout_s);
        if (!add_final_state(id, result, read)) break;
    }
    context_.post(std::move(read));
    (void)keep_alive;
}

}  // namespace weirmill
