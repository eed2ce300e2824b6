// Machines that come and go, and what is asked of the cloud for it. One object for each leadership
// term, used on the leader's executor only.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "autoscaler/autoscaler.h"
#include "controller/cloud_client.h"
#include "controller/heartbeat_handler.h"
#include "controller/leader_context.h"
#include "controller/leader_messages.h"
#include "controller/stop_sender.h"
#include "controller/task_lifecycle.h"

namespace weirmill {

// Keeps the machines of the cluster state in step with the cloud's list and with their leases,
// provisions what the autoscaler asks for, and terminates what is idle or lost. Its coroutines only
// talk to the cloud; what comes of it is posted to the leader's mailbox and handled from there.
class InstanceManager {
  public:
    // `may_decide`: the lease is valid, and the leadership is not about to be transferred.
    InstanceManager(LeaderContext& context, TaskLifecycle& task_lifecycle, StopSender& stop_sender,
                    HeartbeatHandler& heartbeat_handler, std::function<bool()> may_decide)
        : context_(context),
          task_lifecycle_(task_lifecycle),
          stop_sender_(stop_sender),
          heartbeat_handler_(heartbeat_handler),
          may_decide_(std::move(may_decide)),
          cloud_(context) {}

    // Reads the machine types again and again, until the term is over.
    void start_reading_types();
    // Reads the list of machines again and again, until the term is over.
    void start_reading_list();
    // The machine types that an earlier leader recorded.
    void set_recorded_types(std::string record) { recorded_types_ = std::move(record); }
    // Nothing is provisioned before this time (steady clock, seconds).
    void defer_scale_out(double until) { provision_not_before_ = until; }

    void handle(MachineTypesRead& message);
    void handle(MachineListRead& message);
    void handle(MachinesProvisioned& message);
    void handle(ScaleOutFinished&) { provisioning_ = false; }
    void handle(MachinesTerminated& message);

    // Leases that ran out, and machines that are lost: to be called about twice a second.
    void check_machines();
    // One pass of the autoscaler: terminates, drains and provisions machines.
    void autoscale();
    // A machine of this name was terminated. A late list or heartbeat may still show it.
    [[nodiscard]] bool is_terminated(const std::string& name) const {
        return terminated_.contains(name);
    }

  private:
    // What the rules of check_machines look at beside the machine itself.
    struct FleetView {
        std::vector<bool> silent_zones;  // by zone index
        size_t up = 0;
        size_t downlink_lost = 0;
    };
    [[nodiscard]] FleetView fleet_view() const;
    void check_machine(Index index, Machine& machine, const FleetView& fleet);
    // The rules. `abandon`: the machine is to be terminated as soon as it can be.
    void lease_expired(Index index, Machine& machine);
    void abandon_unreachable(Machine& machine, const FleetView& fleet) const;
    void abandon_unheard(Machine& machine, const FleetView& fleet) const;
    void abandon_unlisted(Machine& machine) const;
    void abandon_failed_boot(Machine& machine);
    [[nodiscard]] bool is_lost(const Machine& machine) const;
    [[nodiscard]] bool is_offered(const Machine& machine) const;
    [[nodiscard]] double replacement_s(const Machine& machine, bool zone_silent) const;
    void machine_gone(Index index, const char* why);

    void machine_listed(const ListedMachine& listed);
    void scale_in();
    void drain_one();
    void scale_out();

    boost::asio::awaitable<void> read_types(std::shared_ptr<void> keep_alive);
    boost::asio::awaitable<void> read_lists(std::shared_ptr<void> keep_alive);
    boost::asio::awaitable<std::optional<std::vector<ListedMachine>>> read_list();
    boost::asio::awaitable<void> provision(std::shared_ptr<void> keep_alive,
                                           std::vector<ScaleOutRequest> requests);
    boost::asio::awaitable<std::optional<std::vector<std::string>>> provision_one(
        ScaleOutRequest request);
    boost::asio::awaitable<void> terminate(std::shared_ptr<void> keep_alive,
                                           std::vector<std::string> names);

    LeaderContext& context_;
    TaskLifecycle& task_lifecycle_;
    StopSender& stop_sender_;
    HeartbeatHandler& heartbeat_handler_;
    std::function<bool()> may_decide_;
    CloudClient cloud_;

    std::string recorded_types_;           // as the key-value store has them
    std::string recorded_without_prices_;  // the same, as this leader recorded them
    bool listed_once_ = false;
    bool provisioning_ = false;                 // a scale-out pass is under way
    bool terminating_ = false;                  // a request to terminate is under way
    uint64_t provision_count_ = 0;              // requests of this leadership term
    std::map<std::string, double> terminated_;  // by name: when
    // Times on the steady clock, seconds.
    double provision_not_before_ = 0;
    double next_drain_ = 0;
    double responses_blocked_at_ = -1e9;  // when this leader last could not answer heartbeats
};

}  // namespace weirmill
