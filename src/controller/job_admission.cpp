#include "controller/job_admission.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

namespace weirmill {

namespace asio = boost::asio;

namespace {

// Final states read for one submission: a few at once, then at a share of the rate, for so long.
constexpr size_t kReadAtOnce = 8;
constexpr double kReadShare = 0.25;
constexpr double kReadDependencies_s = 1.2;
constexpr double kReadTimeout_s = 0.6;

// False: the rest is not read, as the job was never accepted, or the read failed (`all` is false).
bool take_final_state(const std::string& id, const KvResult<KvItem>& result,
                      DependenciesRead& read) {
    if (result.outcome == KvOutcome::Missing) {
        read.missing = id;
        return false;
    }
    auto state = result ? decode_final_state(result.value) : std::nullopt;
    read.all = state.has_value();
    if (state) read.ended.emplace_back(id, *state);
    return read.all;
}

}  // namespace

JobAdmission::JobAdmission(LeaderContext& context, FinalStateCache& final_states, JobCallbacks jobs,
                           std::function<bool(const std::string&)> is_pending)
    : context_(context),
      final_states_(final_states),
      jobs_(std::move(jobs)),
      is_pending_(std::move(is_pending)) {}

DependencyResolution JobAdmission::resolve(const JobSpec& spec) const {
    DependencyResolution out;
    for (auto& id : spec.dependencies) {
        out.invalid = out.invalid || id == spec.id || !valid_job_id(id);
        resolve_one(id, out);
    }
    return out;
}

void JobAdmission::resolve_one(const std::string& id, DependencyResolution& out) const {
    auto& index = context_.cluster.job_index;
    if (auto it = index.find(id); it != index.end()) {
        auto& job = *context_.cluster.jobs[it->second];
        out.undecided = out.undecided || job.record_revision == 0;
        // Where its cancellation is not recorded yet, the job follows it once it is.
        if (job.cancel_durable)
            out.cancelled = true;
        else
            out.jobs.push_back(it->second);
        return;
    }
    if (auto* final_state = final_states_.find(id)) {
        out.cancelled = out.cancelled || final_state->state == JobState::Cancelled;
        return;
    }
    if (is_pending_(id)) {
        out.undecided = true;  // accepted by a standby controller, and soon adopted
        return;
    }
    out.unread.push_back(id);
}

Index JobAdmission::add(JobSpec spec, const DependencyResolution& dependencies, double submitted) {
    if (dependencies.jobs.empty() || dependencies.cancelled) spec.dependencies.clear();
    auto index = context_.cluster.add_job(std::move(spec), submitted, context_.now);
    auto& job = *context_.cluster.jobs[index];
    job.submitted_steady = context_.now - std::max(0.0, wall_now() - submitted);
    if (dependencies.cancelled) {
        job.cancelled = true;
        job.cancel_durable = true;  // in its own record
    } else if (job.waits_for_dependencies) {
        context_.cluster.set_dependencies(index, dependencies.jobs, context_.now);
    }
    return index;
}

void JobAdmission::drop(Index job) {
    auto dependencies = context_.cluster.dependencies().dependencies_of(job);
    context_.cluster.remove_job(job, context_.now);
    jobs_.check_cancelled(dependencies);
}

// From here on its tasks are of use to nobody, so they are stopped before the cancellation is
// recorded. Its record may stand, and a standby controller report it, long before this leader has
// an answer for it: tasks that waited for the answer once ran on for as long as transactions went
// unanswered.
void JobAdmission::request_cancellation(Index job) {
    context_.cluster.jobs[job]->cancelled = true;
    context_.state_log.queue_cancellation(job);
    jobs_.check_job(job);
}

void JobAdmission::read_dependencies(PeerCall call, ReplyPromise reply,
                                     std::vector<std::string> ids, bool adopts) {
    DependenciesRead read{std::move(call), std::move(reply), {}, {}, true, adopts};
    asio::co_spawn(context_.io,
                   read_in_turn(context_.keep_alive(), std::move(read), std::move(ids)),
                   asio::detached);
}

// One after the other: a long list must not take the rate that renewals of the lease need. What was
// read is remembered, so that a list too long for one call gets further with each repetition.
asio::awaitable<void> JobAdmission::read_in_turn(std::shared_ptr<void> keep_alive,
                                                 DependenciesRead read,
                                                 std::vector<std::string> ids) {
    double until = steady_now() + kReadDependencies_s;
    double pause_s = 1 / (kReadShare * context_.settings.state_rps);
    for (auto& id : ids) {
        if (read.ended.size() >= kReadAtOnce) co_await sleep_s(pause_s);
        if (context_.stopped || steady_now() > until) {
            read.all = false;
            break;
        }
        auto result = co_await final_states_.read(id, kReadTimeout_s);
        if (!take_final_state(id, result, read)) break;
    }
    context_.post(std::move(read));
    (void)keep_alive;
}

}  // namespace weirmill
