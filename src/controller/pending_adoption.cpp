#include "controller/pending_adoption.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <set>
#include <utility>

#include "protocol/user_codec.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

constexpr int kRecordsPerPage = 200;
// No record is adopted while this many new jobs wait to be recorded, so that submissions of users
// do not wait behind more adopted jobs.
constexpr size_t kMaxQueuedJobs = 64;
// Delay after a failed adoption. By then the watch should have reported what caused the failure.
constexpr double kRetryDelay_s = 0.3;
constexpr double kMissingDependencyDelay_s = 5;
constexpr double kWatchTimeout_s = 10;
constexpr double kListTimeout_s = 3;

}  // namespace

PendingAdoption::PendingAdoption(LeaderContext& context, FinalStateCache& final_states,
                                 JobAdmission& admission)
    : context_(context), final_states_(final_states), admission_(admission) {}

asio::awaitable<std::optional<PendingRecordsChanged>> PendingAdoption::read_all() {
    PendingRecordsChanged read;
    read.complete = true;
    std::string after;
    for (bool more = true; more;) {
        auto page =
            co_await context_.kv.list(kPendingPrefix, after, kRecordsPerPage, kListTimeout_s);
        if (context_.stopped || !page) co_return std::nullopt;
        if (after.empty()) watch_revision_ = page.value.revision;
        more = page.value.has_more && !page.value.items.empty();
        if (more) after = page.value.items.back().key;
        for (auto& item : page.value.items) read.events.push_back({std::move(item), false});
    }
    co_return read;
}

void PendingAdoption::start_watch() {
    asio::co_spawn(context_.io, watch(context_.keep_alive()), asio::detached);
}

asio::awaitable<void> PendingAdoption::watch(std::shared_ptr<void> keep_alive) {
    (void)keep_alive;
    while (!context_.stopped) {
        auto watched = co_await context_.kv.watch(kPendingPrefix, watch_revision_, kWatchTimeout_s);
        if (context_.stopped) co_return;
        if (watched) {
            watch_revision_ = std::max(watch_revision_, watched.value.revision);
            if (!watched.value.events.empty())
                context_.post(PendingRecordsChanged{std::move(watched.value.events)});
            continue;
        }
        // The key-value store no longer has the changes since this revision, so all records are
        // read again. The loop always pauses after a failure; a persistent error status would
        // otherwise cause requests in a tight loop.
        if (watched.outcome == KvOutcome::Invalid) {
            auto all = co_await read_all();
            if (all) context_.post(std::move(*all));
        }
        co_await sleep_s(kRetryDelay_s);
    }
}

void PendingAdoption::update_entry(const KvItem& item) {
    auto id = item.key.substr(kPendingPrefix.size());
    auto it = entries_.find(id);
    if (it != entries_.end() && it->second.version >= item.version) return;
    try {
        entries_[id] = {item.version, parse_pending_record(item.value)};
    } catch (const BadMessage& e) {
        // The record stays in the store, and its user is told to retry, which is always safe.
        spdlog::error("leader: malformed record {}: {}", item.key, e.what());
    }
}

void PendingAdoption::apply_changes(const PendingRecordsChanged& changes) {
    if (changes.complete) {
        std::set<std::string> keys;
        for (auto& event : changes.events) keys.insert(event.item.key);
        std::erase_if(entries_,
                      [&](auto& entry) { return !keys.contains(pending_key(entry.first)); });
    }
    for (auto& event : changes.events) {
        auto& item = event.item;
        if (!event.deleted) {
            update_entry(item);
            continue;
        }
        auto it = entries_.find(item.key.substr(std::min(kPendingPrefix.size(), item.key.size())));
        if (it != entries_.end() && it->second.version < item.version) entries_.erase(it);
    }
    adopt_due();
}

// A record whose deletion is queued does not count: the state log or a final state has replaced it.
// If it counted, users of an ended job would be told to retry until the record is deleted,
// which takes minutes under high load.
bool PendingAdoption::is_pending(const std::string& id) const {
    auto it = entries_.find(id);
    return it != entries_.end() && it->second.state != State::Deleting;
}

void PendingAdoption::adopt_due() {
    if (entries_.empty() || !context_.lease_valid()) return;
    for (auto& [id, entry] : entries_) {
        if (context_.state_log.queued_new_jobs() >= kMaxQueuedJobs) return;
        if (entry.state == State::Waiting && context_.now >= entry.not_before) adopt(id, entry);
    }
}

void PendingAdoption::adopt(const std::string& id, Entry& entry) {
    auto& index = context_.cluster.job_index;
    if (auto it = index.find(id); it != index.end()) return adopt_existing(id, entry, it->second);
    // A job with a final state has ended. So has one that is not in the cluster state and whose
    // record is only a cancellation request.
    if (final_states_.contains(id) || !entry.record.accepted()) return request_deletion(id);
    auto spec = parse_job(id, entry);
    if (!spec) {
        entry.state = State::Malformed;
        return;
    }
    auto dependencies = admission_.resolve(*spec);
    if (dependencies.has_unrecorded) return;
    if (dependencies.unread.empty())
        return record_job(std::move(*spec), entry, std::move(dependencies));
    entry.state = State::ReadingDependencies;
    admission_.read_dependencies(PeerCall{PeerOp::Submit, id, ""},
                                 ReplyPromise(context_.io.get_executor()),
                                 std::move(dependencies.unread), true);
}

// Handles the record of a job that is already in the cluster state.
void PendingAdoption::adopt_existing(const std::string& id, const Entry& entry, Index index) {
    auto& job = *context_.cluster.jobs[index];
    if (job.record_revision == 0) return;  // its record is queued or being written
    if (!entry.record.cancelled || job.cancel_durable) return request_deletion(id);
    // A standby controller accepted the cancellation. The pending record is deleted only after the
    // state log holds the cancellation, so that the request is not lost.
    if (!job.cancelled && !job.ending) admission_.request_cancellation(index);
}

std::optional<JobSpec> PendingAdoption::parse_job(const std::string& id, const Entry& entry) const {
    try {
        JobSpec spec = parse_submission(entry.record.job, context_.cluster.names);
        if (spec.team == kNone) read::throw_invalid("job.team");
        if (spec.id != id) read::throw_invalid("job.name_id");
        return spec;
    } catch (const BadMessage& e) {
        spdlog::error("leader: malformed record {}: {}", pending_key(id), e.what());
        return {};
    }
}

void PendingAdoption::record_job(JobSpec spec, Entry& entry, DependencyResolution dependencies) {
    dependencies.cancelled = dependencies.cancelled || entry.record.cancelled;
    auto index = admission_.add(std::move(spec), dependencies, entry.record.submitted_wall);
    // Standby controllers accept jobs only if every controller's version adopts pending records.
    // All of these versions can read multi-part records.
    context_.state_log.allow_multi_part_records();
    context_.state_log.queue_new_job(index, entry.version);
    entry.state = State::Recording;
    context_.metrics.increment("door_jobs_collected_total");
}

void PendingAdoption::dependencies_read(const DependenciesRead& read) {
    auto it = entries_.find(read.call.subject);
    if (it == entries_.end() || it->second.state != State::ReadingDependencies) return;
    auto& entry = it->second;
    entry.state = State::Waiting;
    if (read.never_accepted_id.empty()) {
        if (!read.complete) entry.not_before = context_.now + kRetryDelay_s;
        return adopt_due();
    }
    // This is not expected, because the standby controller verified that the dependency was
    // accepted. An accepted job is never refused, so the adoption is retried.
    spdlog::error("leader: dependency {} of accepted job {} was never accepted",
                  read.never_accepted_id, read.call.subject);
    entry.not_before = context_.now + kMissingDependencyDelay_s;
}

void PendingAdoption::request_deletion(const std::string& id) {
    auto it = entries_.find(id);
    if (it == entries_.end() || it->second.state == State::Deleting) return;
    it->second.state = State::Deleting;
    context_.state_log.queue_pending_deletion(pending_key(id), it->second.version);
}

uint64_t PendingAdoption::adopted_version(const std::string& id) const {
    auto it = entries_.find(id);
    if (it == entries_.end() || it->second.state != State::Recording) return 0;
    return it->second.version;
}

// Makes the record due again: at once if the job was recorded, so that the record is deleted, and
// otherwise after a delay, so that the adoption is retried.
void PendingAdoption::adoption_finished(const std::string& id, bool recorded) {
    auto it = entries_.find(id);
    if (it == entries_.end() || it->second.state != State::Recording) return;
    it->second.state = State::Waiting;
    it->second.not_before = recorded ? 0 : context_.now + kRetryDelay_s;
}

void PendingAdoption::deletion_finished(const StateLogEntry& entry) {
    auto it = entries_.find(entry.key.substr(kPendingPrefix.size()));
    if (it != entries_.end() && it->second.version == entry.version) entries_.erase(it);
}

}  // namespace weirmill
