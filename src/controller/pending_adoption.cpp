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
// New jobs that wait to be recorded: users' own must not wait behind more.
constexpr size_t kMaxRecording = 64;
// After a refusal, whose cause the watch should bring by then.
constexpr double kRetry_s = 0.3;
constexpr double kMissingDependency_s = 5;
constexpr double kWatch_s = 10;
constexpr double kListTimeout_s = 3;

}  // namespace

PendingAdoption::PendingAdoption(LeaderContext& context, FinalStateCache& final_states,
                                 JobAdmission& admission)
    : context_(context), final_states_(final_states), admission_(admission) {}

asio::awaitable<std::optional<PendingRecordsChanged>> PendingAdoption::read_all() {
    PendingRecordsChanged read;
    read.whole = true;
    std::string after;
    for (bool more = true; more;) {
        auto page =
            co_await context_.kv.list(kPendingPrefix, after, kRecordsPerPage, kListTimeout_s);
        if (context_.stopped || !page) co_return std::nullopt;
        if (after.empty()) revision_ = page.value.revision;
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
        auto watched = co_await context_.kv.watch(kPendingPrefix, revision_, kWatch_s);
        if (context_.stopped) co_return;
        if (watched) {
            revision_ = std::max(revision_, watched.value.revision);
            if (!watched.value.events.empty())
                context_.post(PendingRecordsChanged{std::move(watched.value.events)});
            continue;
        }
        // Too old to be watched on from: all records are read again. Never without a pause, as any
        // other status that stays would else be asked for without an end.
        if (watched.outcome == KvOutcome::Invalid) {
            auto all = co_await read_all();
            if (all) context_.post(std::move(*all));
        }
        co_await sleep_s(kRetry_s);
    }
}

void PendingAdoption::receive_record(const KvItem& item) {
    auto id = item.key.substr(kPendingPrefix.size());
    auto it = entries_.find(id);
    if (it != entries_.end() && it->second.version >= item.version) return;
    try {
        entries_[id] = {item.version, parse_pending_record(item.value)};
    } catch (const BadMessage& e) {
        // Left as it is: its user is asked to come back, which is never wrong.
        spdlog::error("leader: malformed record {}: {}", item.key, e.what());
    }
}

void PendingAdoption::receive(const PendingRecordsChanged& changes) {
    if (changes.whole) {
        std::set<std::string> keys;
        for (auto& event : changes.events) keys.insert(event.item.key);
        std::erase_if(entries_,
                      [&](auto& entry) { return !keys.contains(pending_key(entry.first)); });
    }
    for (auto& event : changes.events) {
        auto& item = event.item;
        if (!event.deleted) {
            receive_record(item);
            continue;
        }
        auto it = entries_.find(item.key.substr(std::min(kPendingPrefix.size(), item.key.size())));
        if (it != entries_.end() && it->second.version < item.version) entries_.erase(it);
    }
    adopt_due();
}

// A record that is to be deleted says nothing any more. Its job, should it have ended, was answered
// "not now" until the record was gone, which on a busy day took minutes.
bool PendingAdoption::is_pending(const std::string& id) const {
    auto it = entries_.find(id);
    return it != entries_.end() && it->second.step != Step::Deleting;
}

void PendingAdoption::adopt_due() {
    if (entries_.empty() || !context_.lease_valid()) return;
    for (auto& [id, entry] : entries_) {
        if (context_.state_log.submissions() >= kMaxRecording) return;
        if (entry.step == Step::Waiting && context_.now >= entry.not_before) adopt(id, entry);
    }
}

void PendingAdoption::adopt(const std::string& id, Entry& entry) {
    auto& index = context_.cluster.job_index;
    if (auto it = index.find(id); it != index.end()) return adopt_live(id, entry, it->second);
    // What is neither alive here nor a job of its own has ended.
    if (final_states_.contains(id) || !entry.record.accepted()) return request_deletion(id);
    auto spec = parse_job(id, entry);
    if (!spec) {
        entry.step = Step::Malformed;
        return;
    }
    auto dependencies = admission_.resolve(*spec);
    if (dependencies.undecided) return;
    if (dependencies.unread.empty())
        return record(std::move(*spec), entry, std::move(dependencies));
    entry.step = Step::ReadingDependencies;
    admission_.read_dependencies(PeerCall{PeerOp::Submit, id, ""},
                                 ReplyPromise(context_.io.get_executor()),
                                 std::move(dependencies.unread), true);
}

// The job is in the cluster state already.
void PendingAdoption::adopt_live(const std::string& id, const Entry& entry, Index index) {
    auto& job = *context_.cluster.jobs[index];
    if (job.version == 0) return;  // on its way to be recorded
    if (!entry.record.cancelled || job.cancel_recorded) return request_deletion(id);
    // Cancelled by way of a standby controller. Its record is deleted only once the state log holds
    // the cancellation, so that no request is lost.
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

void PendingAdoption::record(JobSpec spec, Entry& entry, DependencyResolution dependencies) {
    dependencies.cancelled = dependencies.cancelled || entry.record.cancelled;
    auto index = admission_.add(std::move(spec), dependencies, entry.record.at);
    // Standby controllers accept jobs only where all controllers adopt them, so all can read a
    // record in pieces.
    context_.state_log.allow_multi_part_records();
    context_.state_log.new_job(index, entry.version);
    entry.step = Step::Recording;
    context_.metrics.increment("door_jobs_collected_total");
}

void PendingAdoption::resume(const DependenciesRead& read) {
    auto it = entries_.find(read.call.subject);
    if (it == entries_.end() || it->second.step != Step::ReadingDependencies) return;
    auto& entry = it->second;
    entry.step = Step::Waiting;
    if (read.missing.empty()) {
        if (!read.all) entry.not_before = context_.now + kRetry_s;
        return adopt_due();
    }
    // The standby controller saw that the dependency was accepted, so this can't be; what was
    // accepted is never refused.
    spdlog::error("leader: {} waits for {}, which was never accepted", read.call.subject,
                  read.missing);
    entry.not_before = context_.now + kMissingDependency_s;
}

void PendingAdoption::request_deletion(const std::string& id) {
    auto it = entries_.find(id);
    if (it == entries_.end() || it->second.step == Step::Deleting) return;
    it->second.step = Step::Deleting;
    context_.state_log.forget(pending_key(id), it->second.version);
}

uint64_t PendingAdoption::adopted_version(const std::string& id) const {
    auto it = entries_.find(id);
    if (it == entries_.end() || it->second.step != Step::Recording) return 0;
    return it->second.version;
}

// The record is looked at again: to be deleted if the job was recorded, and otherwise, a little
// later, to be adopted anew.
void PendingAdoption::adoption_finished(const std::string& id, bool recorded) {
    auto it = entries_.find(id);
    if (it == entries_.end() || it->second.step != Step::Recording) return;
    it->second.step = Step::Waiting;
    it->second.not_before = recorded ? 0 : context_.now + kRetry_s;
}

void PendingAdoption::deletion_finished(const StateLogEntry& entry) {
    auto it = entries_.find(entry.key.substr(kPendingPrefix.size()));
    if (it != entries_.end() && it->second.version == entry.version) entries_.erase(it);
}

}  // namespace weirmill
