// The leader: an actor that owns the cluster state and is spoken to by messages. It exists for one
// leadership term.
#pragma once
#include <boost/asio/experimental/channel.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "controller/final_state_cache.h"
#include "controller/heartbeat_handler.h"
#include "controller/instance_manager.h"
#include "controller/job_admission.h"
#include "controller/leader_context.h"
#include "controller/pending_adoption.h"
#include "controller/scheduling_loop.h"
#include "controller/state_log_writer.h"
#include "controller/stop_sender.h"
#include "controller/task_lifecycle.h"
#include "controller/user_requests.h"
#include "scheduler/overload_forecast.h"

namespace weirmill {

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
    // Stops also go by way of peers from here on.
    void set_relay(PeerRelay relay) { stop_sender_.set_relay(std::move(relay)); }

    // Requests of users and workers, from this node's own HTTP server or over the peer link.
    // Answered within some seconds in any case.
    boost::asio::awaitable<PeerReply> ask(PeerCall call);

  private:
    using Mailbox =
        boost::asio::experimental::channel<void(boost::system::error_code, LeaderMessage)>;

    boost::asio::awaitable<void> run(std::shared_ptr<Leader> self);
    // Until all was read, or the term is over (nothing).
    boost::asio::awaitable<std::optional<PendingRecordsChanged>> load();
    void become_ready(const PendingRecordsChanged& pending);
    boost::asio::awaitable<void> tick_loop(std::shared_ptr<Leader> self);

    void post(LeaderMessage m);
    void handle(RequestReceived& m);
    void handle(FinalStateRead& m) { users_.final_state_read(m); }
    void handle(DependenciesRead& m);
    void handle(TransactionFinished& m) { log_writer_.finished(m); }
    void handle(TransactionOutcomeUnknown&) { log_writer_.outcome_unknown(); }
    void handle(PendingRecordsChanged& m) { adoption_.receive(m); }
    void handle(MachineTypesRead& m) { instance_manager_.handle(m); }
    void handle(MachineListRead& m) { instance_manager_.handle(m); }
    void handle(MachinesProvisioned& m) { instance_manager_.handle(m); }
    void handle(ScaleOutFinished& m);
    void handle(MachinesTerminated& m) { instance_manager_.handle(m); }
    void handle(TimerTick&);
    void handle(TransferRequested& m);
    void log_capacity();
    void settle();

    JobCallbacks job_callbacks();

    LeaderContext context_;
    StopSender stop_sender_;
    TaskLifecycle task_lifecycle_;
    SchedulingLoop scheduling_loop_;
    HeartbeatHandler heartbeat_handler_;
    InstanceManager instance_manager_;
    FinalStateCache final_states_;
    JobAdmission admission_;
    PendingAdoption adoption_;
    UserRequests users_;
    StateLogWriter log_writer_;
    Mailbox mailbox_;
    OverloadForecast forecast_;
    // Requests in the mailbox, and the bytes of their bodies.
    size_t queued_requests_ = 0;
    size_t queued_bytes_ = 0;
    bool ready_ = false;
    // Transfer of the leadership: called once nothing is under way, or at the deadline.
    std::function<void()> on_settled_;
    double settle_deadline_ = 0;

    // When the periodic work is due, on the steady clock in seconds.
    double next_round_ = 0;
    double next_check_ = 0;
    double next_autoscale_ = 0;
    double next_capacity_log_ = 0;
};

}  // namespace weirmill
