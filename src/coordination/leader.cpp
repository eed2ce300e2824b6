#include "coordination/leader.h"

#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "protocol/cloud_codec.h"
#include "protocol/paths.h"
#include "protocol/user_codec.h"
#include "protocol/worker_codec.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

constexpr size_t kMailbox = 4096;
constexpr size_t kMaxFinals = 20000;  // final states kept in memory; the rest are read through
constexpr size_t kMaxStrays = 2000;
constexpr int kSegmentsAPage = 50;
const std::string kOldJobs = "j/";
constexpr double kFlushPause_s = 0.04;  // events gather between two transactions
constexpr double kHold_s = 0.6;  // a report waits this long for records at most
constexpr double kAsk_s = 2.0;
constexpr double kClosingPause_s = 4;  // one machine at a time: its tasks must find their places first
constexpr double kReplacementBoots = 3;  // a boot, and about two of them for the images

double wall_now() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// The condition on the leadership is among those that failed.
bool names_leader(const std::vector<std::string>& failed) {
    return std::find(failed.begin(), failed.end(), kLeaderKey) != failed.end();
}

// What a stop allows the task: time to save, with some to spare, or none.
double stop_grace_s(const Job& job, const Task& task) {
    return task.graceful ? job.spec.save_s * 1.25 + 1 : 0;
}

}  // namespace

Leader::Leader(asio::io_context& io, const Settings& settings, const Properties& properties,
               StateClient& state, Metrics& metrics, std::shared_ptr<Tenure> tenure)
    : io_(io),
      settings_(settings),
      properties_(properties),
      state_(state),
      cloud_(io, settings.cloud, 1024 * 1024),
      metrics_(metrics),
      tenure_(std::move(tenure)),
      mailbox_(io, kMailbox),
      tables_(settings),
      ledger_(tables_, tenure_->token, {settings.txn_ops, settings.value_kb}),
      random_(std::random_device{}()),
      // A share is left to renewals and to what other controllers ask for.
      writes_(settings.state_write_rps * 0.9, 0.8),
      cloud_budget_(settings.cloud_rps * 0.85, 1.0) {}

void Leader::start() {
    asio::co_spawn(io_, run(shared_from_this()), asio::detached);
    asio::co_spawn(io_, types_loop(shared_from_this()), asio::detached);
}

void Leader::stop() {
    stopped_ = true;
    ready_ = false;
    tenure_->ended = true;
    mailbox_.close();
    for (auto& [id, list] : waiters_)
        for (auto& [op, reply] : list) reply.set(come_back());
    waiters_.clear();
    for (auto& [m, held] : held_) held.reply.set({421, redirect_answer("")});
    held_.clear();
}

asio::awaitable<PeerReply> Leader::ask(PeerCall call) {
    // Half of the mailbox is kept for what comes back from outside: none of that may be lost.
    if (!ready_ || queued_ > kMailbox / 2) co_return come_back();
    Reply reply(io_.get_executor());
    bool is_report = call.op == PeerOp::Report;
    post(Asked{std::move(call), reply});
    auto answer = co_await reply.wait(kAsk_s);
    if (answer) co_return *answer;
    co_return is_report ? PeerReply{503, "{}"} : come_back();
}

void Leader::gauges(std::map<std::string, double>& out) const {
    size_t up = 0, placed = 0, pending = 0;
    for (auto& m : tables_.machines) up += m && m->up;
    for (auto& job : tables_.jobs) {
        if (!job) continue;
        placed += job->placed;
        pending += job->pending;
    }
    out["jobs"] = static_cast<double>(tables_.job_index.size());
    out["machines"] = static_cast<double>(tables_.machine_index.size());
    out["machines_up"] = static_cast<double>(up);
    out["tasks_placed"] = static_cast<double>(placed);
    out["tasks_pending"] = static_cast<double>(pending);
}

PeerReply Leader::come_back(int seconds) const {
    return {503, R"({"error":"not now"})", seconds, tenure_->token};
}

void Leader::post(Message m) {
    if (stopped_) return;
    if (mailbox_.try_send(boost::system::error_code(), std::move(m))) {
        ++queued_;
        return;
    }
    // Without an outcome that was lost, this leader would wait for ever: the next one starts afresh.
    spdlog::error("leader: mailbox full, giving up the leadership");
    tenure_->ended = true;
}

asio::awaitable<void> Leader::run(std::shared_ptr<Leader> self) {
    while (!stopped_ && !co_await load()) co_await sleep_s(0.3);
    if (stopped_) co_return;
    now_ = steady_now();
    // A predecessor's rentals may not be listed yet: without waiting, they would be rented again.
    if (!tables_.jobs.empty()) rent_not_before_ = tenure_->won + 2 * settings_.list_lag_s;
    next_round_ = now_ + properties_.preemption_round_s / 2;
    ready_ = true;
    spdlog::info("leader: ready token={} jobs={} machines={}", tenure_->token, tables_.job_index.size(),
                 tables_.machine_index.size());
    for (Index j = 0; j < tables_.jobs.size(); ++j) {
        if (!tables_.jobs[j]) continue;
        tables_.jobs[j]->seen_at = now_ - std::max(0.0, wall_now() - tables_.jobs[j]->submitted);
        check_job(j);
    }
    asio::co_spawn(io_, tick_loop(self), asio::detached);
    asio::co_spawn(io_, list_loop(self), asio::detached);
    while (!stopped_) {
        auto [ec, message] = co_await mailbox_.async_receive(asio::as_tuple(asio::use_awaitable));
        if (ec) break;
        --queued_;
        now_ = steady_now();
        std::visit([this](auto& m) { handle(m); }, message);
        if (stopped_) break;
        if (dirty_ && now_ >= next_schedule_) schedule();
        flush_stops();
        flush();
    }
}

// Single records first, the head of the log among them, then its segments, page by page.
asio::awaitable<bool> Leader::load() {
    tables_.clear_work();
    ledger_.clear();
    double started = steady_now();
    size_t segments = 0;
    for (const std::string& prefix : {kRoundKey, kTypesKey, kLogKey, kSegments, kOldJobs}) {
        std::string after;
        for (bool more = true; more;) {
            auto page = co_await state_.list(prefix, after, kSegmentsAPage, 3);
            if (stopped_) co_return false;
            if (!page) {
                if (page.outcome == StateOutcome::Unknown)
                    spdlog::info("leader: loading waits for the state service");
                co_return false;
            }
            more = page.value.more && !page.value.items.empty();
            for (auto& item : page.value.items) {
                after = item.key;
                try {
                    if (item.key == kRoundKey) {
                        ledger_.load_note(item.key, item.version);
                        rounds_ = read::count(read::object(item.value), "number", 0);
                    } else if (item.key == kTypesKey) {
                        ledger_.load_note(item.key, item.version);
                        recorded_types_ = boost::json::serialize(item.value);
                        if (!tables_.types_known) tables_.set_types(parse_machine_types(recorded_types_));
                    } else if (item.key == kLogKey) {
                        ledger_.load_head(item);
                    } else if (prefix == kSegments) {
                        ledger_.load_segment(item, steady_now());
                        ++segments;
                    } else if (prefix == kOldJobs) {
                        throw BadMessage("of a version that kept a key for each job; see docs/operations.md");
                    }
                } catch (const BadMessage& e) {
                    // Leading without a record could start a task twice: another try, never a guess.
                    spdlog::error("leader: malformed record {}: {}", item.key, e.what());
                    co_return false;
                }
            }
        }
    }
    ledger_.loaded(steady_now());
    spdlog::info("leader: read {} segments in {:.2f}s", segments, steady_now() - started);
    co_return true;
}

asio::awaitable<void> Leader::tick_loop(std::shared_ptr<Leader> self) {
    (void)self;
    while (!stopped_) {
        co_await sleep_s(0.1);
        post(Tick{});
    }
}

void Leader::handle(Tick&) {
    release_held(true);
    if (now_ >= next_check_) {
        next_check_ = now_ + 0.5;
        check_machines();
    }
    if (now_ >= next_round_) {
        next_round_ = now_ + properties_.preemption_round_s;
        preempt();
    }
    if (now_ >= next_sizing_) {
        next_sizing_ = now_ + 1.0;
        size_fleet();
        dirty_ = true;  // back-offs and quarantines end with time alone
    }
}

// ---- users ----

void Leader::handle(Asked& m) {
    switch (m.call.op) {
        case PeerOp::Submit:
            return submit(m.call, m.reply);
        case PeerOp::Status:
            return status(m.call, m.reply);
        case PeerOp::Cancel:
            return cancel(m.call, m.reply);
        case PeerOp::Report:
            return report(m.call, m.reply);
        case PeerOp::Ping:
            break;  // answered by the node itself
    }
    m.reply.set({400, "{}"});
}

// Nothing is told before it is recorded.
bool Leader::may_tell(const Job& job) const {
    return job.version != 0 && job.cancelled == job.cancel_recorded;
}

// The last word from the state service was a failure: neither a transaction nor a renewal has worked since.
bool Leader::state_down() const {
    return state_failed_at_ > std::max(state_worked_at_, tenure_->sure_until - properties_.election_lease_s);
}

JobState Leader::job_state(const Job& job) const {
    if (job.cancelled) return JobState::Cancelled;
    return job.running > 0 ? JobState::Running : JobState::Queued;
}

PeerReply Leader::job_reply(const Job& job, PeerOp op, int status) const {
    auto state = job_state(job);
    if (op == PeerOp::Status) return {status, job_status(job.spec.id, state, job.done, job.running)};
    return {status, job_answer(job.spec.id, state)};
}

PeerReply Leader::final_reply(const std::string& id, const FinalState& f, PeerOp op) const {
    if (op == PeerOp::Status) return {200, job_status(id, f.state, f.done, 0)};
    return {200, job_answer(id, f.state)};
}

void Leader::remember_final(const std::string& id, FinalState f) {
    if (finals_.emplace(id, f).second) finals_order_.push_back(id);
    if (finals_order_.size() > kMaxFinals) {
        finals_.erase(finals_order_.front());
        finals_order_.pop_front();
    }
}

void Leader::answer_waiters(const std::string& id, const PeerReply& reply) {
    auto it = waiters_.find(id);
    if (it == waiters_.end()) return;
    for (auto& [op, waiting] : it->second) waiting.set(reply);
    waiters_.erase(it);
}

void Leader::submit(PeerCall& call, Reply& reply) {
    if (!sure(now_)) return reply.set(come_back());
    JobSpec spec;
    try {
        spec = parse_submission(call.body, tables_.names);
    } catch (const BadMessage& e) {
        return reply.set({400, boost::json::serialize(boost::json::object{{"error", e.what()}})});
    }
    if (auto* job = tables_.find_job(spec.id)) {
        if (may_tell(*job)) return reply.set(job_reply(*job, PeerOp::Submit, 200));
        if (job->version != 0 || state_down()) return reply.set(come_back());
        waiters_[spec.id].emplace_back(PeerOp::Submit, reply);
        return;
    }
    if (auto it = finals_.find(spec.id); it != finals_.end())
        return reply.set(final_reply(spec.id, it->second, PeerOp::Submit));
    if (!tables_.types_known) return reply.set(come_back(2));
    const char* never = nullptr;
    if (spec.team == kNone) {
        never = "unknown team";
    } else {
        bool fits = false, zone_ok = spec.zone == kNone;
        for (Index t = 0; t < tables_.types.size(); ++t) {
            if (!tables_.type_fits(spec, t)) continue;
            fits = true;
            for (auto& z : tables_.types[t].type.zones)
                if (tables_.names.zones.find(z) == spec.zone) zone_ok = true;
        }
        auto all = spec.kind == JobKind::Array ? spec.need : spec.need * spec.tasks;
        auto& limit = tables_.teams[spec.team].limit;
        if (!fits || !zone_ok)
            never = "a task fits no allowed machine type";
        else if ((limit.cpu && all.cpu > limit.cpu) || (limit.gpu && all.gpu > limit.gpu))
            never = "more than the team's limit";
    }
    if (never) {
        // It may have been accepted when more was on offer: its final state, if any, is the answer.
        call.subject = spec.id;
        asio::co_spawn(io_, read_final(shared_from_this(), std::move(call), reply, 422), asio::detached);
        return;
    }
    // The service can't record it now: told at once.
    if (state_down() || ledger_.submissions() > 4 * settings_.state_write_rps) return reply.set(come_back());
    if (tables_.task_count + spec.tasks > tables_.max_tasks) return reply.set(come_back(10));
    std::string id = spec.id;
    auto index = tables_.add_job(std::move(spec), wall_now(), now_);
    auto& job = *tables_.jobs[index];
    if (job_record(job, tables_.names).size() + 20 > ledger_.max_entry()) {  // and its cancellation
        tables_.remove_job(index);
        return reply.set({400, R"({"error":"the job's description is too long"})"});
    }
    waiters_[id].emplace_back(PeerOp::Submit, reply);
    ledger_.new_job(index);
}

void Leader::status(PeerCall& call, Reply& reply) {
    if (!valid_job_id(call.subject)) return reply.set({404, "{}"});
    if (!sure(now_)) return reply.set(come_back());
    if (auto* job = tables_.find_job(call.subject)) {
        return reply.set(may_tell(*job) ? job_reply(*job, PeerOp::Status, 200) : come_back());
    }
    if (auto it = finals_.find(call.subject); it != finals_.end())
        return reply.set(final_reply(call.subject, it->second, PeerOp::Status));
    asio::co_spawn(io_, read_final(shared_from_this(), std::move(call), reply, 404), asio::detached);
}

void Leader::cancel(PeerCall& call, Reply& reply) {
    if (!valid_job_id(call.subject)) return reply.set({404, "{}"});
    if (!sure(now_)) return reply.set(come_back());
    auto it = tables_.job_index.find(call.subject);
    if (it == tables_.job_index.end()) {
        if (auto f = finals_.find(call.subject); f != finals_.end())
            return reply.set(final_reply(call.subject, f->second, PeerOp::Cancel));
        asio::co_spawn(io_, read_final(shared_from_this(), std::move(call), reply, 404), asio::detached);
        return;
    }
    auto& job = *tables_.jobs[it->second];
    if (job.cancel_recorded) return reply.set(job_reply(job, PeerOp::Cancel, 200));
    if (job.version == 0 || state_down()) return reply.set(come_back());
    // Answered once the cancellation, or the end that came before it, is recorded.
    waiters_[call.subject].emplace_back(PeerOp::Cancel, reply);
    if (job.cancelled || job.ending) return;
    job.cancelled = true;
    ledger_.cancel(it->second);
}

asio::awaitable<void> Leader::read_final(std::shared_ptr<Leader> self, PeerCall call, Reply reply,
                                         int refusal) {
    auto result = co_await state_.get(final_key(call.subject), 1.2);
    self->post(FinalRead{std::move(call), reply, std::move(result), refusal});
}

void Leader::handle(FinalRead& m) {
    auto& id = m.call.subject;
    if (!sure(now_)) return m.reply.set(come_back());
    if (m.result) {
        try {
            auto f = parse_final(m.result.value.value);
            remember_final(id, f);
            return m.reply.set(final_reply(id, f, m.call.op));
        } catch (const BadMessage& e) {
            spdlog::error("leader: malformed record {}: {}", m.result.value.key, e.what());
            return m.reply.set(come_back());
        }
    }
    // What was read is as old as the read: the job may have come, or ended, meanwhile.
    bool here = tables_.find_job(id) || finals_.count(id);
    if (m.result.outcome == StateOutcome::Missing && !here)
        return m.reply.set({m.refusal, m.refusal == 422 ? R"({"error":"can never run"})" : "{}"});
    m.reply.set(come_back());
}

// ---- records ----

void Leader::flush() {
    if (flushing_ || now_ < flush_not_before_ || !sure(now_) || !ledger_.waiting()) return;
    double budget = writes_.available(now_);
    // The end of a job takes two changes; less than that is left to users alone.
    if (budget < (ledger_.urgent() ? 1 : 3)) return;
    auto batch = ledger_.next(static_cast<int>(budget));
    if (batch.empty()) return;
    writes_.take(static_cast<double>(batch.txn.changes.size()));
    flushing_ = true;
    asio::co_spawn(io_, commit(shared_from_this(), std::move(batch)), asio::detached);
}

// One transaction at a time, until its outcome is known.
asio::awaitable<void> Leader::commit(std::shared_ptr<Leader> self, LedgerBatch batch) {
    bool unsure = false;
    for (double pause = 0.1; !stopped_; pause = std::min(1.0, pause * 1.7)) {
        auto result = co_await state_.txn(batch.txn, 1.0);
        if (stopped_) co_return;
        if (result.outcome == StateOutcome::Conflict && unsure) {
            bool deposed = names_leader(result.failed);
            // The copy without an answer may have been applied: then its keys say so. Nobody else may write
            // them.
            auto write = std::find_if(batch.txn.changes.begin(), batch.txn.changes.end(),
                                      [](auto& c) { return !c.value.empty(); });
            if (!deposed && write != batch.txn.changes.end()) {
                auto item = co_await state_.get(write->key, 1.0);
                if (stopped_) co_return;
                if (!item && item.outcome != StateOutcome::Missing) {
                    co_await sleep_s(pause);
                    continue;
                }
                if (item) {
                    uint64_t expected = 0;
                    for (auto& c : batch.txn.conditions)
                        if (c.key == write->key) expected = c.version;
                    if (item.value.version != expected && item.value.value == read::parse(write->value)) {
                        result.outcome = StateOutcome::Ok;
                        result.value = item.value.version;
                        result.failed.clear();
                    }
                }
            } else if (!deposed) {
                result.outcome = StateOutcome::Ok;  // deletions only, and they are done
            }
        }
        if (result.outcome == StateOutcome::Unknown || (unsure && result.outcome == StateOutcome::Refused)) {
            if (!unsure) post(TxnUnsure{});
            unsure = true;
            co_await sleep_s(pause * std::uniform_real_distribution<double>(0.7, 1.3)(random_));
            continue;
        }
        post(TxnDone{std::move(batch), std::move(result)});
        co_return;
    }
    (void)self;
}

// Users are not kept waiting for an outcome that may take long.
void Leader::handle(TxnUnsure&) {
    state_failed_at_ = now_;
    for (auto& [id, list] : waiters_)
        for (auto& [op, reply] : list) reply.set(come_back());
}

void Leader::handle(TxnDone& m) {
    flushing_ = false;
    if (m.result.outcome == StateOutcome::Ok) {
        state_worked_at_ = now_;
        flush_not_before_ = now_ + kFlushPause_s;
        metrics_.count("transactions_total");
        ledger_.committed(m.batch, m.result.value);
        for (auto& e : m.batch.entries) {
            if (e.kind == EntryKind::NewJob) {
                auto& job = *tables_.jobs[e.job];
                answer_waiters(job.spec.id, job_reply(job, PeerOp::Submit, 201));
                dirty_ = true;
            } else if (e.kind == EntryKind::Cancel) {
                auto& job = *tables_.jobs[e.job];
                answer_waiters(job.spec.id, job_reply(job, PeerOp::Cancel, 200));
                check_job(e.job);
            } else if (e.kind == EntryKind::Finish) {
                auto& job = *tables_.jobs[e.job];
                FinalState f{job.cancelled ? JobState::Cancelled : JobState::Done, job.done};
                auto id = job.spec.id;
                remember_final(id, f);
                answer_waiters(id, final_reply(id, f, PeerOp::Cancel));
                tables_.remove_job(e.job);
                spdlog::debug("job: {} {}", id, f.state == JobState::Done ? "done" : "cancelled");
            }
        }
        release_held(false);
        return;
    }
    bool deposed = names_leader(m.result.failed);
    if (deposed) {
        spdlog::info("leader: deposed, a transaction found another leader");
        tenure_->ended = true;
        return;
    }
    std::vector<Index> again;
    if (m.result.outcome == StateOutcome::Conflict) {
        // Only a job that has ended already may stand in the way.
        size_t explained = 0;
        for (auto& e : m.batch.entries) {
            if (e.kind != EntryKind::NewJob) continue;
            auto id = tables_.jobs[e.job]->spec.id;
            auto& failed = m.result.failed;
            if (std::find(failed.begin(), failed.end(), final_key(id)) == failed.end()) {
                again.push_back(e.job);
                continue;
            }
            ++explained;
            auto waiting = std::move(waiters_[id]);
            waiters_.erase(id);
            tables_.remove_job(e.job);
            for (auto& [op, reply] : waiting)
                asio::co_spawn(io_, read_final(shared_from_this(), PeerCall{op, id, ""}, reply, 404),
                               asio::detached);
        }
        if (explained != m.result.failed.size()) {
            spdlog::error("leader: records differ from the tables at {}: starting over",
                          m.result.failed.front());
            tenure_->ended = true;
            return;
        }
    } else {
        // Not executed. Users are told at once; all the rest is tried again.
        state_failed_at_ = now_;
        for (auto& e : m.batch.entries) {
            if (e.kind == EntryKind::NewJob) {
                answer_waiters(tables_.jobs[e.job]->spec.id, come_back());
                tables_.remove_job(e.job);
            } else if (e.kind == EntryKind::Cancel) {
                answer_waiters(tables_.jobs[e.job]->spec.id, come_back());
            }
        }
        writes_.drain();
        flush_not_before_ = now_ + std::uniform_real_distribution<double>(0.2, 0.5)(random_);
    }
    ledger_.rejected(m.batch);
    for (auto j : again) ledger_.new_job(j);
}

// ---- workers ----

bool Leader::usable(const Machine& m) const {
    return m.up && !m.returning && !m.doomed && !m.closing && m.notice_until < 0 &&
           m.quarantined_until <= now_ && now_ - m.last_report < silence_s() &&
           m.type < tables_.types.size() && tables_.types[m.type].offered;
}

void Leader::report(PeerCall& call, Reply& reply) {
    if (tenure_->ended || past_grace()) return reply.set({503, "{}"});
    Report r;
    try {
        r = parse_report(call.body);
    } catch (const BadMessage& e) {
        spdlog::error("worker: malformed report from {} refused: {}", call.subject, e.what());
        return reply.set({400, "{}"});
    }
    if (gone_.count(r.machine)) return reply.set({503, "{}"});
    auto index = tables_.add_machine(r.machine, now_);
    auto& m = *tables_.machines[index];
    m.addr = r.addr;
    if (m.type == kNone || m.size == Resources{}) tables_.describe_machine(m, r.type, r.zone, r.spot);
    if (r.token > tenure_->token) {
        spdlog::info("worker: {} has seen token={}, later than ours", r.machine, r.token);
        return reply.set({503, "{}"});
    }
    bool newer = std::pair(r.session, r.seq) > std::pair(m.session, m.seq);
    Held held{reply, r.seq, now_ + kHold_s, 0};
    if (!newer) {
        // Late or repeated: what it says is old, and its worker has given up on the answer.
        m.last_answer = now_;
        return reply.set({200, report_answer(tenure_->token, {})});
    }
    size_t before = m.tasks.size();
    take_report(m, index, r);
    // What came free is offered to a scheduling pass before the answer goes: without it, the next task's start
    // waited for the next regular report.
    if (m.tasks.size() < before) held.passes = passes_ + 1;
    if (auto it = held_.find(index); it != held_.end()) {
        it->second.reply.set({503, "{}"});
        held_.erase(it);
    }
    if (dirty_ && now_ >= next_schedule_) schedule();
    if (sure(now_) && (held.passes > passes_ || unsettled(m)))
        held_.emplace(index, held);
    else
        answer_report(index, held);
}

void Leader::take_report(Machine& m, Index index, const Report& r) {
    if (!m.up) {
        // Rented by this leader and up for the first time: its boot tells how boots go at present.
        if (m.hired && m.up_at == 0) tables_.learn_boot(m.type, now_ - m.rented);
        m.up = true;
        m.up_at = now_;
        m.status = MachineStatus::Running;
        if (!m.returning) m.doomed = false;
        dirty_ = true;
        spdlog::info("machine: {} up type={} zone={} spot={} after={:.1f}s", m.name, r.type, r.zone, r.spot,
                     now_ - m.rented);
    }
    if (r.session > m.session) {
        // A newer session: everything placed in an older one is gone.
        auto tasks = m.tasks;
        for (auto& ref : tasks) {
            auto& task = tables_.jobs[ref.job]->tasks[ref.task];
            if (task.state == TaskState::Placed && task.machine == index && task.session < r.session)
                lose_task(ref.job, ref.task);
        }
        m.images.clear();
    }
    m.session = r.session;
    m.seq = r.seq;
    m.last_report = now_;
    // From here on no earlier leader's answer is taken by this worker.
    m.saw_token = r.token == tenure_->token;
    if (r.notice_s >= 0) {
        if (m.notice_until < 0) spdlog::info("machine: {} is taken back in {:.1f}s", m.name, r.notice_s);
        m.notice_until = now_ + r.notice_s;
    }
    m.strays.clear();
    std::set<std::pair<std::string_view, uint32_t>> present;
    for (auto& t : r.tasks) {
        present.emplace(t.job, t.task);
        take_task(m, index, t);
    }
    auto tasks = m.tasks;
    for (auto& ref : tasks) {
        auto& job = *tables_.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.state != TaskState::Placed || task.machine != index) continue;
        if (present.count({job.spec.id, ref.task})) continue;
        // Not there. That is proof only if the worker has seen our token, as an earlier leader's start
        // could else still arrive, and if this report was sent after our own start was answered.
        bool proof = m.saw_token && (task.start_seq == 0 || task.start_seq < r.seq);
        if (!proof) continue;
        if (task.phase != TaskPhase::Unseen || task.stopping) lose_task(ref.job, ref.task);
    }
    if (r.notice_s >= 0) drain(index, r.notice_s);
}

void Leader::take_task(Machine& m, Index index, const TaskReport& t) {
    bool exited = t.phase == TaskPhase::Exited;
    auto it = tables_.job_index.find(t.job);
    bool expected = false;
    if (it != tables_.job_index.end()) {
        auto& job = *tables_.jobs[it->second];
        if (t.task < job.tasks.size()) {
            auto& task = job.tasks[t.task];
            expected = task.placed_as(index, t.attempt);
            if (expected && !exited) {
                if (t.phase == TaskPhase::Running && task.phase != TaskPhase::Running && task.running_at == 0)
                    task.running_at = static_cast<float>(now_);
                if (task.phase == TaskPhase::Fetching && t.phase != TaskPhase::Fetching) {
                    std::erase(m.images, job.spec.image);
                    m.images.push_back(job.spec.image);
                    if (m.images.size() > 16) m.images.erase(m.images.begin());
                }
                tables_.set_phase(job, task, t.phase);
            } else if (expected) {
                task_exited(it->second, t.task, index, t);
            } else if (exited && t.cause == ExitCause::Done && task.state != TaskState::Done &&
                       t.attempt <= task.attempt) {
                // An older attempt completed after all; its result is kept.
                spdlog::info("task: {}/{} done by an older attempt {}", t.job, t.task, t.attempt);
            }
        }
    }
    // Exited entries are cleared once their outcome is recorded; anything unexpected is stopped.
    if ((exited || !expected) && m.strays.size() < kMaxStrays)
        m.strays.push_back({t.job, t.task, t.attempt, exited});
}

void Leader::task_exited(Index j, uint32_t t, Index machine, const TaskReport& r) {
    auto& job = *tables_.jobs[j];
    auto& m = *tables_.machines[machine];
    bool gang = job.spec.kind == JobKind::Gang;
    bool was_graceful = job.tasks[t].graceful;
    dirty_ = true;
    if (r.cause == ExitCause::Done && job.spec.kind != JobKind::Service) {
        m.faulty_jobs.clear();
        m.faults = 0;
        if (job.tasks[t].running_at > 0) tables_.learn_run(job.spec, now_ - job.tasks[t].running_at);
        if (gang) {  // if one task is done, every one is
            for (uint32_t i = 0; i < job.tasks.size(); ++i) tables_.finish(j, i, now_);
        } else {
            tables_.finish(j, t, now_);
        }
        check_job(j);
        return;
    }
    if (r.cause != ExitCause::Stopped)
        spdlog::info("task: {}/{} attempt={} exited on {} cause={}", job.spec.id, t, r.attempt, m.name,
                     static_cast<int>(r.cause));
    tables_.vacate(j, t, now_);
    if (r.cause == ExitCause::Error) task_failed(j, machine);
    if (r.cause == ExitCause::NoRoom || r.cause == ExitCause::Busy || r.cause == ExitCause::Unknown)
        job.not_before = std::max(job.not_before, now_ + 1.0);
    if (gang) end_gang(j, was_graceful);
    check_job(j);
}

// A machine that fails different jobs is sick; a job that fails on different machines is at fault itself.
void Leader::task_failed(Index j, Index machine) {
    auto& job = *tables_.jobs[j];
    auto& m = *tables_.machines[machine];
    ++job.failures;
    ++m.faults;
    job.failed_on.insert(machine);
    m.faulty_jobs.insert(j);
    bool job_works = job.done > 0 || job.running > 0;
    if (job.failed_on.size() >= 2 && !job_works && m.faulty_jobs.size() < 2) {
        job.not_before =
            now_ + std::min(120.0, 2.0 * std::pow(2.0, std::min<double>(
                                                           job.failed_on.size() + job.failures / 8.0, 8)));
        for (auto i : job.failed_on) {
            auto* other = tables_.machines[i].get();
            if (other && other->faulty_jobs.size() <= 1 && other->quarantined_until > now_)
                other->quarantined_until = 0;
        }
        spdlog::info("job: {} failed on {} machines, tried again in {:.0f}s", job.spec.id,
                     job.failed_on.size(), job.not_before - now_);
        return;
    }
    if (m.quarantined_until <= now_) {
        spdlog::info("machine: {} quarantined after failing {}", m.name, job.spec.id);
        metrics_.count("machines_quarantined_total");
        m.quarantined_until = now_ + properties_.quarantine_s;
    }
}

// The task is proven gone without having told its outcome.
void Leader::lose_task(Index j, uint32_t t) {
    auto& job = *tables_.jobs[j];
    spdlog::info("task: {}/{} attempt={} gone from {}", job.spec.id, t, job.tasks[t].attempt,
                 tables_.machines[job.tasks[t].machine]->name);
    metrics_.count("tasks_lost_total");
    bool graceful = job.tasks[t].graceful;
    tables_.vacate(j, t, now_);
    dirty_ = true;
    if (job.spec.kind == JobKind::Gang) end_gang(j, graceful);
    check_job(j);
}

// The gang's current attempt is over. Its other tasks must all be gone before the next one.
void Leader::end_gang(Index j, bool graceful) {
    auto& job = *tables_.jobs[j];
    job.gang_ending = job.placed > 0;
    for (uint32_t t = 0; t < job.tasks.size(); ++t)
        if (job.tasks[t].state == TaskState::Placed && !job.tasks[t].stopping) stop_task(j, t, graceful);
}

// What follows from the counts of a job.
void Leader::check_job(Index j) {
    auto& job = *tables_.jobs[j];
    if (job.ending || job.version == 0) return;
    if (job.spec.kind == JobKind::Gang && job.placed == 0) job.gang_ending = false;
    if (job.cancelled) {
        if (!job.cancel_recorded) return;
        for (uint32_t t = 0; t < job.tasks.size(); ++t)
            if (job.tasks[t].state == TaskState::Placed && (!job.tasks[t].stopping || job.tasks[t].graceful))
                stop_task(j, t, false);
        if (job.placed > 0) return;
    } else if (job.done < job.tasks.size()) {
        // A gang found half placed after a change of leader, or half gone.
        if (job.spec.kind == JobKind::Gang && job.placed > 0 && job.pending > 0 && !job.gang_ending)
            end_gang(j, false);
        return;
    }
    job.ending = true;
    ledger_.finish(j);
}

void Leader::stop_task(Index j, uint32_t t, bool graceful) {
    auto& job = *tables_.jobs[j];
    auto& task = job.tasks[t];
    task.stopping = true;
    task.graceful = graceful && job.spec.checkpoint_s > 0;
    if (job.spec.kind == JobKind::Gang) job.gang_ending = true;
    direct_[task.machine].push_back({CommandOp::Stop, job.spec.id, t, task.attempt, stop_grace_s(job, task)});
}

// A stop is sent straight to its worker as well, so that a gang hears of it within gang_peer_s. A late
// copy does no harm: it names the attempt, and the session must still match.
void Leader::flush_stops() {
    for (auto& [index, commands] : direct_) {
        auto* m = tables_.machines[index].get();
        if (!m || !m->up || m->addr.empty()) continue;
        asio::co_spawn(
            io_,
            send_stops(shared_from_this(), m->addr, direct_commands(tenure_->token, m->session, commands)),
            asio::detached);
    }
    direct_.clear();
}

asio::awaitable<void> Leader::send_stops(std::shared_ptr<Leader> self, std::string addr, std::string body) {
    (void)self;
    try {
        HttpClient worker(io_, Endpoint::parse(addr, "worker"), 1024 * 1024);
        co_await worker.request("POST", paths::kCommands, std::move(body), 2.0);
    } catch (const SettingsError& e) {
        spdlog::error("worker: bad address {}: {}", addr, e.what());
    }
}

// The machine will be taken: what can save does so in time, what can't may still complete.
void Leader::drain(Index index, double notice_s) {
    auto tasks = tables_.machines[index]->tasks;
    for (auto& ref : tasks) {
        auto& job = *tables_.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.state != TaskState::Placed || task.machine != index || task.stopping) continue;
        if (job.spec.kind == JobKind::Gang) {
            end_gang(ref.job, notice_s >= job.spec.save_s);
        } else if (task.phase != TaskPhase::Running && task.phase != TaskPhase::Saving) {
            stop_task(ref.job, ref.task, false);
        } else if (job.spec.checkpoint_s > 0 && notice_s >= job.spec.save_s) {
            stop_task(ref.job, ref.task, true);
        }
    }
}

// Whether the answer to this machine's report would gain from records on their way.
bool Leader::unsettled(const Machine& m) const {
    for (auto& ref : m.tasks) {
        auto& job = *tables_.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.phase == TaskPhase::Unseen && !task.stopping && !tables_.recorded(job, ref.task))
            return true;
    }
    for (auto& e : m.strays) {
        auto it = tables_.job_index.find(e.job);
        if (it == tables_.job_index.end()) continue;
        auto& job = *tables_.jobs[it->second];
        if (e.task < job.tasks.size() && !tables_.recorded(job, e.task)) return true;
    }
    return false;
}

void Leader::answer_report(Index index, Held& held) {
    auto& m = *tables_.machines[index];
    std::vector<Command> commands;
    bool may_start = sure(now_);
    if (may_start) {
        for (auto& e : m.strays) {
            auto it = tables_.job_index.find(e.job);
            if (!e.exited) {
                bool expected = false;
                if (it != tables_.job_index.end() && e.task < tables_.jobs[it->second]->tasks.size()) {
                    auto& task = tables_.jobs[it->second]->tasks[e.task];
                    expected = task.placed_as(index, e.attempt);
                }
                if (!expected) commands.push_back({CommandOp::Stop, e.job, e.task, e.attempt, 0});
                continue;
            }
            if (it != tables_.job_index.end()) {
                auto& job = *tables_.jobs[it->second];
                if (e.task < job.tasks.size()) {
                    auto& task = job.tasks[e.task];
                    // Once cleared, the worker no longer knows the attempt: its outcome must stand recorded.
                    if (job.ending || !tables_.recorded(job, e.task)) continue;
                    if (task.placed_as(index, e.attempt)) continue;
                }
            }
            commands.push_back({CommandOp::Forget, e.job, e.task, e.attempt, 0});
        }
    }
    for (auto& ref : m.tasks) {
        auto& job = *tables_.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.stopping) {
            if (task.phase == TaskPhase::Saving && task.graceful) continue;
            commands.push_back(
                {CommandOp::Stop, job.spec.id, ref.task, task.attempt, stop_grace_s(job, task)});
        } else if (task.phase == TaskPhase::Unseen && may_start && job.active() &&
                   task.session == m.session && m.notice_until < 0 && !m.returning &&
                   tables_.recorded(job, ref.task)) {
            task.start_seq = held.seq;
            commands.push_back({CommandOp::Start, job.spec.id, ref.task, task.attempt, 0});
        }
    }
    m.last_answer = now_;
    held.reply.set({200, report_answer(tenure_->token, commands), 0, tenure_->token});
}

void Leader::release_held(bool due_only) {
    for (auto it = held_.begin(); it != held_.end();) {
        auto* m = tables_.machines[it->first].get();
        if (!m) {
            it->second.reply.set({503, "{}"});
            it = held_.erase(it);
        } else if ((due_only && now_ >= it->second.until) || (it->second.passes <= passes_ && !unsettled(*m))) {
            answer_report(it->first, it->second);
            it = held_.erase(it);
        } else {
            ++it;
        }
    }
}

// ---- machines ----

// Everything on the machine is proven gone.
void Leader::machine_gone(Index index, const char* why) {
    auto& m = *tables_.machines[index];
    spdlog::info("machine: {} gone, {} tasks={}", m.name, why, m.tasks.size());
    auto tasks = m.tasks;
    for (auto& ref : tasks)
        if (tables_.jobs[ref.job]->tasks[ref.task].machine == index) lose_task(ref.job, ref.task);
    if (auto it = held_.find(index); it != held_.end()) {
        it->second.reply.set({503, "{}"});
        held_.erase(it);
    }
    direct_.erase(index);
    dirty_ = true;
}

// Until a machine rented in place of this one would do the same work.
double Leader::replacement_s(const Machine& m) const {
    if (m.type >= tables_.types.size() || !tables_.types[m.type].offered) return 0;
    return kReplacementBoots * tables_.boot_factor * tables_.types[m.type].type.boot_s;
}

void Leader::check_machines() {
    if (past_grace()) deaf_at_ = now_;
    for (Index i = 0; i < tables_.machines.size(); ++i) {
        auto* m = tables_.machines[i].get();
        if (!m) continue;
        // Until its lease has surely run out, whatever was placed there may be running.
        bool expired = now_ > lease_end(settings_, *m, tenure_->won);
        if (expired && m->up) {
            machine_gone(i, "its lease ran out");
            m->up = false;
            m->saw_token = false;
            continue;
        }
        // Not heard of for so long that it is given back. A replacement has to boot and to fetch its images
        // again: for as long as that takes, the machine may just as well come back. A cut of 20 s once cost a
        // whole zone's machines. After an outage in which this leader itself fell silent, all will report again.
        bool running = m->up_at > 0 || m->status == MachineStatus::Running;
        if (!m->up && running && !m->doomed &&
            now_ - std::max({m->last_report, deaf_at_, tenure_->won}) > settings_.lease_s + replacement_s(*m)) {
            spdlog::info("machine: {} not heard of for too long, returned", m->name);
            m->doomed = true;
        }
        if (expired && !m->up && !m->tasks.empty())
            machine_gone(i, "not heard of since the change of leader");
        if (!m->up && m->tasks.empty() && !m->returning) {
            bool lost = m->listed ? m->missing && now_ - m->missing_since > 2 * settings_.list_lag_s + 2
                                  : now_ - m->added > std::max(60.0, 6 * settings_.list_lag_s);
            if (lost) {
                spdlog::info("machine: {} no longer known", m->name);
                tables_.remove_machine(i);
                continue;
            }
        }
        // Silent, and no longer listed: taken, as it seems. To return it costs nothing and proves it gone,
        // long before its lease would.
        bool silent = now_ - std::max(m->last_report, tenure_->won) > silence_s();
        bool unlisted =
            listed_once_ && (m->listed ? m->missing : now_ - m->added > 2 * settings_.list_lag_s + 1);
        if (silent && unlisted && !m->doomed && (m->up || !m->tasks.empty())) {
            spdlog::info("machine: {} is silent and not listed, returned", m->name);
            m->doomed = true;
        }
        if (!m->up && m->status == MachineStatus::Booting && !m->doomed && m->type < tables_.types.size() &&
            tables_.types[m->type].offered && now_ - m->rented > 3 * tables_.types[m->type].type.boot_s + 5) {
            tables_.learn_boot(m->type, now_ - m->rented);
            spdlog::info("machine: {} given up after booting {:.0f}s", m->name, now_ - m->rented);
            m->doomed = true;
        }
        if (m->missing && m->doomed && m->tasks.empty() && !m->returning) {
            tables_.remove_machine(i);
        }
    }
    std::erase_if(gone_, [&](auto& g) { return now_ - g.second > 600; });
    std::erase_if(tables_.refusals, [&](auto& r) { return r.first <= now_; });
}

// Recorded, so that the next leader can decide about submissions while the cloud does not answer.
void Leader::handle(TypesRead& m) {
    auto without_prices = m.types;
    for (auto& t : without_prices) t.price = t.spot_price = 0;
    auto shape = machine_types_json(without_prices);
    auto record = machine_types_json(m.types);
    if (shape != recorded_shape_ && record != recorded_types_ && record.size() < settings_.value_kb * 1024) {
        recorded_shape_ = shape;
        ledger_.note(kTypesKey, record);
    }
    tables_.set_types(std::move(m.types));
}

void Leader::handle(ListRead& list) {
    listed_once_ = true;
    std::set<std::string_view> seen;
    for (auto& l : list.machines) {
        if (gone_.count(l.name)) continue;
        seen.insert(l.name);
        bool fresh = tables_.find_machine(l.name) == kNone;
        auto index = tables_.add_machine(l.name, now_);
        auto& m = *tables_.machines[index];
        if (fresh) spdlog::debug("machine: {} found in the list", l.name);
        if (!m.listed) m.rented = std::min(m.rented, now_ - l.age_s);
        m.listed = true;
        m.missing = false;
        if (m.addr.empty()) m.addr = l.addr;
        if (m.type == kNone || m.size == Resources{}) tables_.describe_machine(m, l.type, l.zone, l.spot);
        if (l.status == MachineStatus::Failed && m.status != MachineStatus::Failed) {
            m.status = MachineStatus::Failed;
            machine_gone(index, "failed");
            m.up = false;
        } else if (l.status == MachineStatus::Running && m.status == MachineStatus::Booting) {
            m.status = MachineStatus::Running;
        }
    }
    for (auto& m : tables_.machines) {
        if (!m || !m->listed || seen.count(m->name) || m->missing) continue;
        m->missing = true;
        m->missing_since = now_;
    }
}

void Leader::size_fleet() {
    if (!tables_.types_known || !listed_once_ || !sure(now_)) return;
    SizingSettings sizing{properties_.idle_keep_boots, settings_.report_s};
    if (!returning_) {
        auto idle = plan_returns(tables_, sizing, now_);
        std::vector<std::string> names;
        for (auto i : idle) {
            if (names.size() == 100) break;
            auto& m = *tables_.machines[i];
            m.returning = true;
            names.push_back(m.name);
        }
        if (!names.empty()) {
            returning_ = true;
            asio::co_spawn(io_, give_back(shared_from_this(), std::move(names)), asio::detached);
        }
    }
    auto can_use = usable_now();
    if (now_ >= next_closing_) {
        next_closing_ = now_ + kClosingPause_s;
        if (auto i = plan_closing(tables_, can_use, now_); i != kNone) {
            auto& m = *tables_.machines[i];
            spdlog::info("machine: {} closed, {} tasks move", m.name, m.tasks.size());
            m.closing = true;
            auto tasks = m.tasks;
            for (auto& ref : tasks) stop_task(ref.job, ref.task, true);
        }
    }
    if (!renting_ && now_ >= rent_not_before_) {
        auto rentals = plan_rentals(tables_, can_use, sizing, now_);
        if (!rentals.empty()) {
            renting_ = true;
            asio::co_spawn(io_, rent(shared_from_this(), std::move(rentals)), asio::detached);
        }
    }
}

void Leader::handle(Rented& r) {
    auto& type = tables_.names.types.name(r.rental.type);
    auto& zone = tables_.names.zones.name(r.rental.zone);
    spdlog::info("cloud: rented {}/{} of {} in {} spot={}", r.names.size(), r.rental.count, type, zone,
                 r.rental.spot);
    metrics_.count("machines_rented_total", r.names.size());
    for (auto& name : r.names) {
        if (gone_.count(name)) continue;
        auto& m = *tables_.machines[tables_.add_machine(name, now_)];
        if (m.type == kNone) tables_.describe_machine(m, type, zone, r.rental.spot);
        m.hired = true;
    }
    if (r.names.size() < static_cast<size_t>(r.rental.count))
        tables_.refusals.push_back({now_ + std::uniform_real_distribution<double>(12, 18)(random_),
                                    {r.rental.type, r.rental.zone, r.rental.spot}});
}

void Leader::handle(RentPassDone&) {
    renting_ = false;
    next_sizing_ = std::min(next_sizing_, now_ + 0.2);
}

void Leader::handle(Returned& r) {
    returning_ = false;
    for (auto& name : r.names) {
        auto index = tables_.find_machine(name);
        if (r.done) gone_[name] = now_;
        if (index == kNone) continue;
        if (!r.done) {
            tables_.machines[index]->returning = false;
            tables_.machines[index]->doomed = true;
            continue;
        }
        machine_gone(index, "returned");
        tables_.remove_machine(index);
    }
}

asio::awaitable<std::optional<HttpAnswer>> Leader::cloud_call(const char* method, std::string target,
                                                              std::string body, double timeout_s) {
    while (!stopped_) {
        double now = steady_now();
        if (now >= cloud_pause_until_ && cloud_budget_.available(now) >= 1) break;
        co_await sleep_s(0.1);
    }
    cloud_budget_.take(1);
    auto answer = co_await cloud_.request(method, std::move(target), std::move(body), timeout_s);
    bool trouble =
        !answer || answer->status == 429 || (answer->status == 503 && !says_no_capacity(answer->body));
    if (trouble)
        cloud_pause_until_ = steady_now() + std::uniform_real_distribution<double>(0.8, 1.6)(random_);
    co_return answer;
}

asio::awaitable<void> Leader::types_loop(std::shared_ptr<Leader> self) {
    while (!stopped_) {
        auto answer = co_await cloud_call("GET", paths::kMachineTypes, "", 3);
        bool good = false;
        if (answer && answer->status == 200) {
            try {
                auto types = parse_machine_types(answer->body);
                post(TypesRead{std::move(types)});
                good = true;
            } catch (const BadMessage& e) {
                spdlog::error("cloud: malformed machine types: {}", e.what());
            }
        }
        co_await sleep_s(good ? 20 : 0.5);
    }
    (void)self;
}

asio::awaitable<void> Leader::list_loop(std::shared_ptr<Leader> self) {
    while (!stopped_) {
        std::vector<ListedMachine> all;
        std::string after;
        bool good = true;
        for (bool more = true; more && good;) {
            auto answer = co_await cloud_call("GET", machine_list_target(after, 500), "", 3);
            good = answer && answer->status == 200;
            if (!good) break;
            try {
                auto page = parse_machine_page(answer->body);
                more = page.more && !page.machines.empty();
                if (!page.machines.empty()) after = page.machines.back().name;
                std::move(page.machines.begin(), page.machines.end(), std::back_inserter(all));
            } catch (const BadMessage& e) {
                spdlog::error("cloud: malformed machine list: {}", e.what());
                good = false;
            }
        }
        if (good) post(ListRead{std::move(all)});
        co_await sleep_s(good ? 2.5 : 1.0);
    }
    (void)self;
}

asio::awaitable<void> Leader::rent(std::shared_ptr<Leader> self, std::vector<Rental> rentals) {
    for (auto& r : rentals) {
        // Unique for ever: no other leader has this token, and no other rental of this leader this number.
        auto request = fmt::format("w{}-{}", tenure_->token, ++hires_);
        auto body = rental_json(request, tables_.names.types.name(r.type), tables_.names.zones.name(r.zone),
                                r.spot, r.count);
        while (!stopped_) {
            auto answer = co_await cloud_call("POST", paths::kMachines, body, 4);
            if (stopped_) co_return;
            if (answer && answer->status == 200) {
                try {
                    post(Rented{r, parse_rented(answer->body)});
                    break;
                } catch (const BadMessage& e) {
                    spdlog::error("cloud: malformed answer to a rental: {}", e.what());
                }
            } else if (answer && answer->status == 503 && says_no_capacity(answer->body)) {
                post(Rented{r, {}});
                break;
            } else if (answer && answer->status == 400) {
                spdlog::error("cloud: rental refused as malformed: {}", body);
                post(Rented{r, {}});
                break;
            }
            // No answer or trouble: the same request again, as its name rents once.
        }
    }
    self->post(RentPassDone{});
}

asio::awaitable<void> Leader::give_back(std::shared_ptr<Leader> self, std::vector<std::string> names) {
    auto answer = co_await cloud_call("POST", paths::kReturn, return_json(names), 4);
    // Without an answer they may be gone or not: they stay out of use and are returned again.
    self->post(Returned{std::move(names), answer && answer->status == 200});
}

// ---- decisions ----

void Leader::schedule() {
    next_schedule_ = now_ + properties_.scheduling_pause_s;
    if (!sure(now_)) return;
    dirty_ = false;
    ++passes_;
    place_waiting(tables_, usable_now(), now_);
}

void Leader::preempt() {
    if (!sure(now_)) return;
    auto round = plan_preemption(tables_, usable_now(), now_);
    if (round.clearings.empty()) return;
    ++rounds_;
    metrics_.count("preemption_rounds_total");
    metrics_.count("preemption_stops_total", round.stops.size());
    ledger_.note(kRoundKey, round_record(round, tables_, rounds_));
    for (auto& c : round.clearings) {
        for (auto i : c.machines) {
            tables_.machines[i]->reserved_for = c.job;
            tables_.machines[i]->reserved_until =
                now_ + 2 * properties_.preemption_round_s + settings_.lease_s;
        }
        spdlog::info("preemption: round={} job={} machines={} stops={}", rounds_,
                     tables_.jobs[c.job]->spec.id, c.machines.size(), round.stops.size());
    }
    for (auto& ref : round.stops) {
        auto& task = tables_.jobs[ref.job]->tasks[ref.task];
        if (task.state == TaskState::Placed && !task.stopping) stop_task(ref.job, ref.task, true);
    }
}

}  // namespace weirmill
