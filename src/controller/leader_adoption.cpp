// The leader: jobs that doors accepted while no leader answered them (doors/records.h). It collects
// each into the log, by the same transaction that records any new job, and deletes the door's
// record after that.
#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "controller/leader.h"
#include "protocol/user_codec.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {
constexpr int kRecordsAPage = 200;
constexpr size_t kCollectAtOnce =
    64;  // new jobs that wait to be recorded: users' own must not wait behind more
constexpr double kAgain_s = 0.3;  // after a refusal, whose cause the watch should tell by then
constexpr double kMissing_s = 5;
constexpr double kWatch_s = 10;
}  // namespace

asio::awaitable<std::optional<PendingRecordsChanged>> Leader::read_pending() {
    PendingRecordsChanged read;
    read.whole = true;
    std::string after;
    for (bool more = true; more;) {
        auto page = co_await context_.kv.list(kPendingPrefix, after, kRecordsAPage, 3);
        if (context_.stopped || !page) co_return std::nullopt;
        if (after.empty()) pending_revision_ = page.value.revision;
        more = page.value.more && !page.value.items.empty();
        if (more) after = page.value.items.back().key;
        for (auto& item : page.value.items) read.events.push_back({std::move(item), false});
    }
    co_return read;
}

// What was read is posted, so that the records change between messages only.
asio::awaitable<void> Leader::pending_loop(std::shared_ptr<Leader> self) {
    (void)self;
    while (!context_.stopped) {
        auto watched = co_await context_.kv.watch(kPendingPrefix, pending_revision_, kWatch_s);
        if (context_.stopped) co_return;
        if (watched) {
            pending_revision_ = std::max(pending_revision_, watched.value.revision);
            if (!watched.value.events.empty())
                post(PendingRecordsChanged{std::move(watched.value.events)});
            continue;
        }
        // Too old to be told on: all records are read again. Never without a pause, as any other
        // status that stays would else be asked for without an end.
        if (watched.outcome == KvOutcome::Invalid)
            if (auto all = co_await read_pending()) post(std::move(*all));
        co_await sleep_s(kAgain_s);
    }
}

void Leader::receive_pending(const KvItem& item) {
    auto id = item.key.substr(kPendingPrefix.size());
    if (auto it = pending_.find(id); it != pending_.end() && it->second.version >= item.version)
        return;
    try {
        pending_[id] = {item.version, parse_pending_record(item.value)};
    } catch (const BadMessage& e) {
        // Left as it is: its user is told to come back, which is never wrong.
        spdlog::error("leader: malformed record {}: {}", item.key, e.what());
    }
}

void Leader::handle(PendingRecordsChanged& m) {
    if (m.whole) {
        std::set<std::string> there;
        for (auto& e : m.events) there.insert(e.item.key);
        std::erase_if(pending_, [&](auto& in) { return !there.count(pending_key(in.first)); });
    }
    for (auto& e : m.events) {
        auto id = e.item.key.substr(std::min(kPendingPrefix.size(), e.item.key.size()));
        if (!e.deleted)
            receive_pending(e.item);
        else if (auto it = pending_.find(id);
                 it != pending_.end() && it->second.version < e.item.version)
            pending_.erase(it);
    }
    adopt_pending();
}

// A record that is to be deleted says nothing any more. Its job, should it have ended, was called
// "not now" until the record was gone, which on a busy day took minutes.
bool Leader::is_pending(const std::string& id) const {
    auto it = pending_.find(id);
    return it != pending_.end() && it->second.step != PendingEntry::Step::Forgetting;
}

void Leader::adopt_pending() {
    if (pending_.empty() || !lease_valid(context_.now)) return;
    for (auto& [id, in] : pending_) {
        if (context_.state_log.submissions() >= kCollectAtOnce) return;
        if (in.step == PendingEntry::Step::Waiting && context_.now >= in.not_before) adopt(id, in);
    }
}

void Leader::adopt(const std::string& id, PendingEntry& in) {
    if (auto it = context_.cluster.job_index.find(id); it != context_.cluster.job_index.end()) {
        auto& job = *context_.cluster.jobs[it->second];
        if (job.version == 0) return;  // on its way to be recorded
        if (!in.record.cancelled || job.cancel_recorded) return forget(id);
        // Cancelled by a door. Its record goes only once the log tells it, so that no request is
        // lost.
        if (!job.cancelled && !job.ending) ask_cancel(it->second);
        return;
    }
    // What is neither alive here nor a job of its own has ended.
    if (finals_.count(id) || !in.record.accepted()) return forget(id);
    JobSpec spec;
    try {
        spec = parse_submission(in.record.job, context_.cluster.names);
        if (spec.team == kNone) read::bad("job.team");
        if (spec.id != id) read::bad("job.name_id");
    } catch (const BadMessage& e) {
        spdlog::error("leader: malformed record {}: {}", pending_key(id), e.what());
        in.step = PendingEntry::Step::Broken;
        return;
    }
    auto depends = resolve(spec);
    if (depends.unsure) return;
    if (!depends.unread.empty()) {
        in.step = PendingEntry::Step::Reading;
        PeerCall call{PeerOp::Submit, id, ""};
        asio::co_spawn(context_.io,
                       read_dependencies(shared_from_this(), std::move(call),
                                         ReplyPromise(context_.io.get_executor()),
                                         std::move(depends.unread), true),
                       asio::detached);
        return;
    }
    depends.cancelled = depends.cancelled || in.record.cancelled;
    auto index = add_new_job(std::move(spec), depends, in.record.at);
    // Doors open only where all controllers collect, so all can read a record in pieces.
    context_.state_log.allow_multi_part_records();
    context_.state_log.new_job(index, in.version);
    in.step = PendingEntry::Step::Telling;
    context_.metrics.count("door_jobs_collected_total");
}

// The dependencies of a door's job were read.
void Leader::resume_adoption(const DependenciesRead& m) {
    auto it = pending_.find(m.call.subject);
    if (it == pending_.end() || it->second.step != PendingEntry::Step::Reading) return;
    it->second.step = PendingEntry::Step::Waiting;
    if (m.missing.empty()) {
        if (!m.all) it->second.not_before = context_.now + kAgain_s;
        return adopt_pending();
    }
    // The door saw that it was accepted, so this can't be; what was accepted is never refused.
    spdlog::error("leader: {} waits for {}, which was never accepted", m.call.subject, m.missing);
    it->second.not_before = context_.now + kMissing_s;
}

// The log, or a final state, stands for the record.
void Leader::forget(const std::string& id) {
    auto it = pending_.find(id);
    if (it == pending_.end() || it->second.step == PendingEntry::Step::Forgetting) return;
    it->second.step = PendingEntry::Step::Forgetting;
    context_.state_log.forget(pending_key(id), it->second.version);
}

uint64_t Leader::pending_version(const std::string& id) const {
    auto it = pending_.find(id);
    return it != pending_.end() && it->second.step == PendingEntry::Step::Telling
               ? it->second.version
               : 0;
}

// The transaction that told of a job is over. Its door's record, should there be one, is looked at
// again: to be forgotten if the job was recorded, and otherwise, a little later, to be collected
// anew.
void Leader::adoption_recorded(const std::string& id, bool recorded) {
    auto it = pending_.find(id);
    if (it == pending_.end() || it->second.step != PendingEntry::Step::Telling) return;
    it->second.step = PendingEntry::Step::Waiting;
    it->second.not_before = recorded ? 0 : context_.now + kAgain_s;
}

void Leader::forgotten(const StateLogEntry& e) {
    auto it = pending_.find(e.key.substr(kPendingPrefix.size()));
    if (it != pending_.end() && it->second.version == e.version) pending_.erase(it);
}

}  // namespace weirmill
