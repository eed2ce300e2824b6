// The leader: an actor that owns the tables and is spoken to by messages. It exists for one tenure.
#pragma once
#include <boost/asio/experimental/channel.hpp>
#include <map>
#include <memory>
#include <random>
#include <variant>

#include "autoscaler/autoscaler.h"
#include "controller/heartbeat_handler.h"
#include "controller/instance_manager.h"
#include "controller/leader_context.h"
#include "controller/scheduling_loop.h"
#include "controller/stop_sender.h"
#include "controller/task_lifecycle.h"
#include "leadership/election.h"
#include "metrics/metrics.h"
#include "scheduler/overload_forecast.h"
#include "scheduler/placement.h"
#include "scheduler/preemption.h"
#include "state/pending_records.h"
#include "state/state_log.h"
#include "storage/kv_client.h"
#include "transport/http_client.h"
#include "transport/one_shot.h"
#include "transport/peer_link.h"

namespace weirmill {

// One actor in several files, by what owns which state: leader_users.cpp, leader_records.cpp,
// leader_inbox.cpp (what doors accepted), leader_workers.cpp (reports, held answers),
// leader_tasks.cpp (endings, stops), leader_fleet.cpp.
class Leader : public std::enable_shared_from_this<Leader> {
  public:
    Leader(boost::asio::io_context& io, const Settings& settings, const Properties& properties,
           KvClient& state, Metrics& metrics, std::shared_ptr<LeadershipTerm> term);
    void start();
    // The tenure is over: nothing is answered or sent any more.
    void stop();

    bool ready() const { return ready_; }
    bool lease_valid(double now) const {
        return !context_.term->ended && now < context_.term->lease_valid_until;
    }
    bool may_decide() const { return lease_valid(context_.now) && !on_settled_; }
    uint64_t fencing_token() const { return context_.term->fencing_token; }
    void gauges(std::map<std::string, double>& out) const;

    // Settles what is under way and starts nothing more, then calls `settled`.
    void transfer_leadership(std::function<void()> settled);
    const ClusterState& cluster() const { return context_.cluster; }
    // Stops also go by way of peers from here on.
    void set_relay(PeerRelay relay) { stop_sender_.set_relay(std::move(relay)); }

    // What users and workers ask for, from this node's own door or over the peer link.
    boost::asio::awaitable<PeerReply> ask(PeerCall call);

  private:
    static const PeerReply kNotFound, kNeverRuns, kTooLong;
    using Mailbox =
        boost::asio::experimental::channel<void(boost::system::error_code, LeaderMessage)>;

    boost::asio::awaitable<void> run(std::shared_ptr<Leader> self);
    boost::asio::awaitable<bool> load();
    boost::asio::awaitable<void> tick_loop(std::shared_ptr<Leader> self);
    boost::asio::awaitable<void> commit(std::shared_ptr<Leader> self, StateLogBatch batch);
    struct Applied {
        bool known = false, yes = false;
        uint64_t version = 0;
    };
    boost::asio::awaitable<Applied> was_applied(const CasTransaction& txn);
    boost::asio::awaitable<void> read_final(std::shared_ptr<Leader> self, PeerCall call,
                                            ReplyPromise reply, PeerReply refusal);
    boost::asio::awaitable<void> read_dependencies(std::shared_ptr<Leader> self, PeerCall call,
                                                   ReplyPromise reply, std::vector<std::string> ids,
                                                   bool adopts);
    boost::asio::awaitable<KvResult<KvItem>> read_ended(std::string id, double timeout_s);
    boost::asio::awaitable<std::optional<PendingRecordsChanged>> read_pending();
    boost::asio::awaitable<void> pending_loop(std::shared_ptr<Leader> self);

    void post(LeaderMessage m);
    void handle(RequestReceived& m);
    void handle(FinalStateRead& m);
    void handle(DependenciesRead& m);
    void handle(TransactionFinished& m);
    void handle(TransactionOutcomeUnknown&);
    void handle(PendingRecordsChanged& m);
    void handle(MachineTypesRead& m) { instance_manager_.handle(m); }
    void handle(MachineListRead& m) { instance_manager_.handle(m); }
    void handle(MachinesProvisioned& m) { instance_manager_.handle(m); }
    void handle(ScaleOutFinished& m);
    void handle(MachinesTerminated& m) { instance_manager_.handle(m); }
    void handle(TimerTick&);
    void handle(TransferRequested& m);
    void settle();

    void submit(PeerCall& call, ReplyPromise& reply);
    // What a new job waits for, as far as this leader knows.
    struct Dependence {
        std::vector<Index> on;
        bool cancelled = false;           // one of them is: and so is the job
        std::vector<std::string> unread;  // may have ended: their final states are to be read
        bool never = false;               // a name that no job can have
        bool unsure = false;              // whether one of them will be accepted is not known yet
    };
    Dependence resolve(const JobSpec& spec) const;
    Index add_new_job(JobSpec spec, const Dependence& depends, double submitted);
    // Nothing: the submission is answered, now or later.
    std::optional<Dependence> dependence(PeerCall& call, ReplyPromise& reply, const JobSpec& spec);
    void refuse_for_good(PeerCall& call, ReplyPromise& reply, const std::string& id,
                         PeerReply refusal = kNeverRuns);

    // A door's record, and what is done with it.
    struct PendingEntry {
        uint64_t version = 0;
        PendingRecord record;
        enum class Step : uint8_t {
            Waiting,
            Reading,
            Telling,
            Forgetting,
            Broken
        } step = Step::Waiting;
        double not_before = 0;
    };
    void receive_pending(const KvItem& item);
    // The job is told by its door record alone, as yet.
    bool is_pending(const std::string& id) const;
    void adopt_pending();
    void adopt(const std::string& id, PendingEntry& in);
    void resume_adoption(const DependenciesRead& m);
    void adoption_recorded(const std::string& id, bool recorded);
    void forget(const std::string& id);
    void forgotten(const StateLogEntry& e);
    uint64_t pending_version(const std::string& id) const;
    std::optional<FinalState> final_state(const KvItem& item) const;
    void drop_new_job(Index job);
    void status(PeerCall& call, ReplyPromise& reply);
    void cancel(PeerCall& call, ReplyPromise& reply);
    void ask_cancel(Index job);
    void flush();
    void mark_ends(const StateLogBatch& batch, bool sent);
    bool may_tell(const Job& job) const;
    bool kv_unavailable() const;
    JobState job_state(const Job& job) const;
    PeerReply job_reply(const Job& job, PeerOp op, int status) const;
    PeerReply final_reply(const std::string& id, const FinalState& f, PeerOp op) const;
    void remember_final(const std::string& id, FinalState f);
    void answer_waiters(const std::string& id, const PeerReply& reply);
    PeerReply come_back(int seconds = 1) const;
    PeerReply undecided() const;  // a door may serve instead

    LeaderContext context_;
    StopSender stop_sender_;
    TaskLifecycle task_lifecycle_;
    SchedulingLoop scheduling_loop_;
    HeartbeatHandler heartbeat_handler_;
    InstanceManager instance_manager_;
    Mailbox mailbox_;
    Forecast forecast_;
    size_t asked_ = 0, asked_bytes_ = 0;  // requests in the mailbox
    bool ready_ = false;
    std::function<void()> on_settled_;  // handing over: called once nothing is under way
    double settle_deadline_ = 0;

    RateLimiter writes_;
    bool flushing_ = false;
    double flush_not_before_ = 0, kv_failed_at_ = -1e9, kv_succeeded_at_ = 0;
    std::map<std::string, std::vector<std::pair<PeerOp, ReplyPromise>>> waiters_;  // by job id
    std::map<std::string, PendingEntry> pending_;                                  // by job id
    uint64_t pending_revision_ = 0;
    std::unordered_map<std::string, FinalState> finals_;
    std::deque<std::string> finals_order_;

    double next_round_ = 0, next_check_ = 0, next_autoscale_ = 0, next_capacity_log_ = 0;
};

}  // namespace weirmill
