// The leader: an actor that owns the cluster state and is spoken to by messages. It exists for one
// leadership term.
#pragma once
#include <boost/asio/experimental/channel.hpp>
#include <map>
#include <memory>
#include <random>
#include <variant>

#include "autoscaler/autoscaler.h"
#include "controller/final_state_cache.h"
#include "controller/job_admission.h"
#include "controller/leader_context.h"
#include "controller/pending_adoption.h"
#include "controller/state_log_writer.h"
#include "controller/user_requests.h"
#include "leadership/election.h"
#include "metrics/metrics.h"
#include "scheduler/overload_forecast.h"
#include "scheduler/placement.h"
#include "scheduler/preemption.h"
#include "state/state_log.h"
#include "storage/kv_client.h"
#include "transport/http_client.h"
#include "transport/one_shot.h"
#include "transport/peer_link.h"

namespace weirmill {

// What a stop allows the task: time to save, with some to spare, or none.
inline double stop_grace_s(const Job& job, const Task& task) {
    return task.graceful ? job.spec.checkpoint_duration_s * 1.25 + 1 : 0;
}

// Sends commands straight to a worker. False: it did not answer, and may carry them out or not.
boost::asio::awaitable<bool> send_commands(boost::asio::io_context& io, std::string addr,
                                           std::string body, double timeout_s);

// Wires the parts of a leadership term, and takes the messages of its mailbox one after the other.
// The parts own their state; what they share is LeaderContext. Used on one executor only.
class Leader : public std::enable_shared_from_this<Leader> {
  public:
    Leader(boost::asio::io_context& io, const Settings& settings, const Properties& properties,
           KvClient& state, Metrics& metrics, std::shared_ptr<LeadershipTerm> term);
    void start();
    // The term is over: nothing is answered or sent any more.
    void stop();

    bool ready() const { return ready_; }
    bool lease_valid(double now) const {
        return !context_.term->ended && now < context_.term->lease_valid_until;
    }
    bool may_decide() const { return lease_valid(context_.now) && !on_settled_; }
    uint64_t fencing_token() const { return context_.term->fencing_token; }
    void gauges(std::map<std::string, double>& out) const;

    // Completes what is under way and starts nothing more, then calls `settled`.
    void transfer_leadership(std::function<void()> settled);
    const ClusterState& cluster() const { return context_.cluster; }
    // Passes a call on to the controller with this name, for workers whose reports it relays.
    std::function<boost::asio::awaitable<bool>(std::string, PeerCall)> pass_on;

    // Requests of users and workers, from this node's own HTTP server or over the peer link.
    // Answered within some seconds in any case.
    boost::asio::awaitable<PeerReply> ask(PeerCall call);

  private:
    using Mailbox =
        boost::asio::experimental::channel<void(boost::system::error_code, LeaderMessage)>;

    struct Held {  // a worker's report that waits for records before it is answered
        ReplyPromise reply;
        uint64_t seq = 0;
        double until = 0;
        uint64_t passes = 0;  // and for this scheduling pass
    };

    boost::asio::awaitable<void> run(std::shared_ptr<Leader> self);
    // Until all was read, or the term is over (nothing).
    boost::asio::awaitable<std::optional<PendingRecordsChanged>> load();
    void become_ready(const PendingRecordsChanged& pending);
    boost::asio::awaitable<void> tick_loop(std::shared_ptr<Leader> self);
    boost::asio::awaitable<void> types_loop(std::shared_ptr<Leader> self);
    boost::asio::awaitable<void> list_loop(std::shared_ptr<Leader> self);
    boost::asio::awaitable<void> provision(std::shared_ptr<Leader> self,
                                           std::vector<ScaleOutRequest> rentals);
    boost::asio::awaitable<void> terminate(std::shared_ptr<Leader> self,
                                           std::vector<std::string> names);
    boost::asio::awaitable<void> send_stops(std::shared_ptr<Leader> self, std::string addr,
                                            std::string by, std::string body, bool by_any);
    boost::asio::awaitable<std::optional<HttpAnswer>> cloud_call(const char* method,
                                                                 std::string target,
                                                                 std::string body,
                                                                 double timeout_s);

    void post(LeaderMessage m);
    void handle(RequestReceived& m);
    void handle(FinalStateRead& m) { users_.final_state_read(m); }
    void handle(DependenciesRead& m);
    void handle(TransactionFinished& m) { log_writer_.finished(m); }
    void handle(TransactionOutcomeUnknown&) { log_writer_.outcome_unknown(); }
    void handle(PendingRecordsChanged& m) { adoption_.receive(m); }
    void handle(MachineTypesRead& m);
    void handle(MachineListRead& m);
    void handle(MachinesProvisioned& m);
    void handle(ScaleOutFinished&);
    void handle(MachinesTerminated& m);
    void handle(TimerTick&);
    void handle(TransferRequested& m);
    void log_capacity();
    void settle();

    void check_cancelled(const std::vector<Index>& jobs);

    void heartbeat(PeerCall& call, ReplyPromise& reply);
    void apply_heartbeat(Machine& m, Index index, const Heartbeat& r);
    void apply_task_status(Machine& m, Index index, const TaskStatus& t);
    void task_exited(Index job, uint32_t task, Index machine, const TaskStatus& t);
    void task_failed(Index job, Index machine);
    void lose_task(Index job, uint32_t task);
    void end_gang(Index job, bool graceful, bool fetch_on = false);
    void check_job(Index job);
    void stop_task(Index job, uint32_t task, bool graceful);
    void drain(Index machine, double interruption_notice_s);
    void respond_to_heartbeat(Index machine, Held& held);
    bool renew_lease(ReplyPromise& reply, const std::vector<Command>& commands);
    void release_held(bool due_only);
    bool unsettled(const Machine& m) const;
    void machine_gone(Index machine, const char* why);
    void check_machines();
    double replacement_s(const Machine& m, bool cut_off) const;
    void schedule();
    void preempt();
    void autoscale();
    AutoscalerSettings autoscaler_settings() const;
    void flush_stops();
    void repeat_stops();
    bool usable(const Machine& m) const;
    Usable usable_now() const {
        return [this](const Machine& m) { return usable(m); };
    }
    // Without a report for this long a machine is taken for silent: nothing new is placed there.
    double silence_s() const { return 2.2 * context_.settings.heartbeat_interval_s + 1; }
    // Unsure of the lease for so long that reports may not be answered any more.
    bool past_grace() const {
        return context_.now > context_.term->lease_valid_until + answering_grace(context_.settings);
    }
    JobCallbacks job_callbacks();

    LeaderContext context_;
    FinalStateCache final_states_;
    JobAdmission admission_;
    PendingAdoption adoption_;
    UserRequests users_;
    StateLogWriter log_writer_;
    HttpClient cloud_;
    Mailbox mailbox_;
    Forecast forecast_;
    // Requests in the mailbox, and the bytes of their bodies.
    size_t queued_requests_ = 0;
    size_t queued_bytes_ = 0;
    bool ready_ = false;
    // Transfer of the leadership: called once nothing is under way, or at the deadline.
    std::function<void()> on_settled_;
    double settle_deadline_ = 0;

    RateLimiter cloud_budget_;
    double cloud_pause_until_ = 0;
    std::map<Index, Held> held_;                    // by machine
    std::map<Index, std::vector<Command>> direct_;  // stops to send, by machine
    double next_schedule_ = 0, next_round_ = 0, next_check_ = 0, next_autoscale_ = 0,
           next_drain_ = 0, next_capacity_log_ = 0, next_warning_ = 0, next_stops_ = 0;
    size_t stops_cursor_ = 0;  // machines are told in turn
    uint64_t rounds_ = 0, passes_ = 0;
    std::string recorded_types_, recorded_shape_;
    bool provisioning_ = false, terminating_ = false, listed_once_ = false;
    double provision_not_before_ = 0;
    uint64_t provision_count_ = 0;
    double responses_blocked_at_ = -1e9;  // when this leader last could not answer reports
    std::map<std::string, double>
        gone_;  // machines known to be gone, which a late list may still show
};

}  // namespace weirmill
