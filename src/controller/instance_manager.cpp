#include "controller/instance_manager.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <set>
#include <string_view>

#include "controller/planning_inputs.h"
#include "protocol/cloud_codec.h"
#include "protocol/paths.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

// Machines are drained one at a time, so that the tasks of one are placed before the next follows.
constexpr double kDrainInterval_s = 4;
// How long a silent machine is kept, in boot times, as a replacement has to boot first. If a whole
// zone is silent, its machines are probably healthy and will return with their images, which
// replacements would have to fetch again.
constexpr double kReplacementBoots = 1;
constexpr double kSilentZoneReplacementBoots = 3;
constexpr size_t kMaxMachinesPerTermination = 100;
constexpr double kTerminatedRetention_s = 600;
constexpr int kMachinesPerListPage = 500;
// Delay before a machine type is requested again after the cloud had no capacity for it.
constexpr double kMinNoCapacityDelay_s = 12, kMaxNoCapacityDelay_s = 18;
constexpr double kTypesPollInterval_s = 20, kTypesRetryDelay_s = 0.5;
constexpr double kListPollInterval_s = 2.5, kListRetryDelay_s = 1.0;
constexpr double kReadTimeout_s = 3, kWriteTimeout_s = 4;

}  // namespace

// Lost machines.

// Marks all tasks of the machine as lost. The machine must be proven gone, or its lease expired.
void InstanceManager::mark_machine_gone(Index index, const char* reason) {
    auto& machine = *context_.cluster.machines[index];
    spdlog::info("machine: {} gone, {}, tasks={}", machine.name, reason, machine.tasks.size());
    auto tasks = machine.tasks;  // a copy, as mark_lost removes tasks from the machine
    for (auto& ref : tasks)
        if (context_.cluster.jobs[ref.job]->tasks[ref.task].machine == index)
            task_lifecycle_.mark_lost(ref.job, ref.task);
    heartbeat_handler_.refuse_deferred(index);
    stop_sender_.drop_stops(index);
    context_.scheduling_needed = true;
}

bool InstanceManager::is_offered(const Machine& machine) const {
    const auto& types = context_.cluster.types;
    return machine.type < types.size() && types[machine.type].offered;
}

// Returns the seconds until a machine provisioned in place of this one could run its tasks.
double InstanceManager::replacement_s(const Machine& machine, bool zone_silent) const {
    if (!is_offered(machine)) return 0;
    return (zone_silent ? kSilentZoneReplacementBoots : kReplacementBoots) *
           context_.cluster.boot_factor * context_.cluster.types[machine.type].type.boot_s;
}

InstanceManager::FleetSummary InstanceManager::summarize_fleet() const {
    FleetSummary fleet;
    fleet.silent_zones = silent_zones(context_.cluster, usable_predicate(context_));
    for (auto& machine : context_.cluster.machines) {
        if (!machine || !machine->up) continue;
        ++fleet.up;
        fleet.downlink_lost += machine->downlink.downlink_lost();
    }
    return fleet;
}

void InstanceManager::check_machines() {
    if (heartbeat_handler_.answering_grace_expired()) responses_blocked_at_ = context_.now;
    auto fleet = summarize_fleet();
    for (Index i = 0; i < context_.cluster.machines.size(); ++i)
        if (auto* machine = context_.cluster.machines[i].get()) check_machine(i, *machine, fleet);
    std::erase_if(terminated_at_, [&](auto& entry) {
        return context_.now - entry.second > kTerminatedRetention_s;
    });
    std::erase_if(context_.cluster.capacity_refusals,
                  [&](auto& refusal) { return refusal.first <= context_.now; });
}

void InstanceManager::check_machine(Index index, Machine& machine, const FleetSummary& fleet) {
    // The tasks placed on the machine may be running until its lease has certainly expired.
    bool expired =
        context_.now > worker_lease_expiry(context_.settings, machine, context_.term->won_at);
    if (expired && machine.up) return handle_expired_lease(index, machine);
    abandon_without_downlink(machine, fleet);
    abandon_silent(machine, fleet);
    if (expired && !machine.up && !machine.tasks.empty())
        mark_machine_gone(index, "no heartbeat since the failover");
    if (is_no_longer_listed(machine)) {
        spdlog::info("machine: {} no longer listed, forgotten", machine.name);
        context_.cluster.remove_machine(index);
        return;
    }
    abandon_unlisted(machine);
    abandon_failed_boot(machine);
    if (machine.missing && machine.abandoned && machine.tasks.empty() && !machine.terminating)
        context_.cluster.remove_machine(index);
}

void InstanceManager::handle_expired_lease(Index index, Machine& machine) {
    mark_machine_gone(index, "its lease expired");
    machine.up = false;
    machine.saw_fencing_token = false;
    // If the machine returns with the same name, its agent epoch and sequence numbers may start
    // again. Its heartbeats must not count as duplicates then.
    reset_downlink(machine.downlink, {machine.agent_epoch, machine.heartbeat_seq});
    machine.agent_epoch = machine.heartbeat_seq = 0;
}

// Abandons a machine whose heartbeats arrive, but which has not received responses for too long.
void InstanceManager::abandon_without_downlink(Machine& machine, const FleetSummary& fleet) const {
    if (!machine.up || machine.abandoned) return;
    if (!should_replace_without_downlink(machine.downlink, replacement_s(machine, false),
                                         fleet.downlink_lost, fleet.up, context_.settings,
                                         context_.now))
        return;
    spdlog::info("machine: {} downlink lost for too long, will be terminated", machine.name);
    machine.abandoned = true;
}

// Abandons a machine that has sent no heartbeat for longer than a replacement would take. A
// replacement has to boot and to fetch its images again, and the machine may return in that time:
// with a shorter limit, a network partition of 20 s caused the replacement of a whole zone's
// machines. The time starts again after an outage in which this leader could not answer heartbeats,
// as the workers will then return.
void InstanceManager::abandon_silent(Machine& machine, const FleetSummary& fleet) const {
    bool has_booted = machine.up_at > 0 || machine.status == MachineStatus::Running;
    if (machine.up || !has_booted || machine.abandoned) return;
    bool zone_silent = machine.zone < fleet.silent_zones.size() && fleet.silent_zones[machine.zone];
    double silent_since =
        std::max({machine.last_heartbeat, responses_blocked_at_, context_.term->won_at});
    if (context_.now - silent_since <=
        context_.settings.lease_s + replacement_s(machine, zone_silent))
        return;
    spdlog::info("machine: {} no heartbeat for too long, will be terminated", machine.name);
    machine.abandoned = true;
}

// Returns whether the machine is missing from the cloud's list for longer than the list may lag
// behind.
bool InstanceManager::is_no_longer_listed(const Machine& machine) const {
    if (machine.up || !machine.tasks.empty() || machine.terminating) return false;
    double list_lag_s = context_.settings.list_lag_s;
    if (machine.listed)
        return machine.missing && context_.now - machine.missing_since > 2 * list_lag_s + 2;
    return context_.now - machine.added_at > std::max(60.0, 6 * list_lag_s);
}

// Abandons a machine that is silent and missing from the cloud's list. The cloud has probably
// interrupted it. Terminating it costs nothing and proves that it is gone, long before its lease
// expires.
void InstanceManager::abandon_unlisted(Machine& machine) const {
    bool silent = context_.now - std::max(machine.last_heartbeat, context_.term->won_at) >
                  silence_threshold_s(context_.settings);
    bool overdue = context_.now - machine.added_at > 2 * context_.settings.list_lag_s + 1;
    bool unlisted = list_received_ && (machine.listed ? machine.missing : overdue);
    if (!silent || !unlisted || machine.abandoned) return;
    if (!machine.up && machine.tasks.empty()) return;
    spdlog::info("machine: {} silent and not listed, will be terminated", machine.name);
    machine.abandoned = true;
}

void InstanceManager::abandon_failed_boot(Machine& machine) {
    if (machine.up || machine.status != MachineStatus::Booting || machine.abandoned) return;
    if (!is_offered(machine)) return;
    double boot_s = context_.now - machine.requested_at;
    if (boot_s <= 3 * context_.cluster.types[machine.type].type.boot_s + 5) return;
    context_.cluster.observe_boot_time(machine.type, boot_s);
    spdlog::info("machine: {} still booting after {:.0f}s, will be terminated", machine.name,
                 boot_s);
    machine.abandoned = true;
}

// Results of calls to the cloud.

// Records the machine types, so that the next leader can validate submissions while the cloud does
// not respond.
void InstanceManager::handle(MachineTypesRead& message) {
    auto types = message.types;
    for (auto& type : types) type.price = type.spot_price = 0;
    auto without_prices = machine_types_json(types);
    auto record = machine_types_json(message.types);
    bool fits = static_cast<double>(record.size()) < context_.settings.value_kb * 1024;
    if (without_prices != recorded_without_prices_ && record != recorded_types_ && fits) {
        recorded_without_prices_ = without_prices;
        context_.state_log.queue_single_record(kTypesKey, record);
    }
    context_.cluster.set_types(std::move(message.types));
}

void InstanceManager::handle(MachineListRead& message) {
    list_received_ = true;
    std::set<std::string_view> listed_names;
    for (auto& listed : message.machines) {
        if (is_terminated(listed.name)) continue;
        listed_names.insert(listed.name);
        apply_listed_machine(listed);
    }
    for (auto& machine : context_.cluster.machines) {
        if (!machine || !machine->listed || machine->missing) continue;
        if (listed_names.contains(machine->name)) continue;
        machine->missing = true;
        machine->missing_since = context_.now;
    }
}

void InstanceManager::apply_listed_machine(const ListedMachine& listed) {
    bool is_new = context_.cluster.find_machine(listed.name) == kNone;
    auto index = context_.cluster.add_machine(listed.name, context_.now);
    auto& machine = *context_.cluster.machines[index];
    if (is_new) spdlog::debug("machine: {} discovered in the cloud's list", listed.name);
    if (!machine.listed)
        machine.requested_at = std::min(machine.requested_at, context_.now - listed.age_s);
    machine.listed = true;
    machine.missing = false;
    if (machine.addr.empty()) machine.addr = listed.addr;
    if (machine.type == kNone || machine.size == Resources{})
        context_.cluster.describe_machine(machine, listed.type, listed.zone, listed.spot);
    if (listed.status == MachineStatus::Failed && machine.status != MachineStatus::Failed) {
        machine.status = MachineStatus::Failed;
        mark_machine_gone(index, "failed");
        machine.up = false;
    } else if (listed.status == MachineStatus::Running &&
               machine.status == MachineStatus::Booting) {
        machine.status = MachineStatus::Running;
    }
}

void InstanceManager::handle(MachinesProvisioned& message) {
    auto& request = message.request;
    auto& type = context_.cluster.names.types.name(request.type);
    auto& zone = context_.cluster.names.zones.name(request.zone);
    spdlog::info("cloud: provisioned {}/{} machines of type {} in zone {} spot={}",
                 message.names.size(), request.count, type, zone, request.spot);
    context_.metrics.increment("machines_rented_total", message.names.size());
    for (auto& name : message.names) {
        if (is_terminated(name)) continue;
        auto& machine =
            *context_.cluster.machines[context_.cluster.add_machine(name, context_.now)];
        if (machine.type == kNone)
            context_.cluster.describe_machine(machine, type, zone, request.spot);
        machine.provisioned_here = true;
    }
    if (message.names.size() >= static_cast<size_t>(request.count)) return;
    std::uniform_real_distribution<double> delay_s(kMinNoCapacityDelay_s, kMaxNoCapacityDelay_s);
    context_.cluster.capacity_refusals.push_back(
        {context_.now + delay_s(context_.random), {request.type, request.zone, request.spot}});
}

void InstanceManager::handle(MachinesTerminated& message) {
    terminating_ = false;
    for (auto& name : message.names) {
        auto index = context_.cluster.find_machine(name);
        if (message.confirmed) terminated_at_[name] = context_.now;
        if (index == kNone) continue;
        if (message.confirmed) {
            mark_machine_gone(index, "terminated");
            context_.cluster.remove_machine(index);
            continue;
        }
        context_.cluster.machines[index]->terminating = false;
        context_.cluster.machines[index]->abandoned = true;
    }
}

// The autoscaler.

void InstanceManager::autoscale() {
    if (!context_.cluster.types_known || !list_received_ || !may_decide_()) return;
    if (!terminating_) scale_in();
    if (context_.now >= next_drain_at_) drain_one_machine();
    if (!provisioning_ && context_.now >= provision_not_before_) scale_out();
}

void InstanceManager::scale_in() {
    std::vector<std::string> names;
    for (auto i : plan_scale_in(context_.cluster, autoscaler_settings(context_), context_.now)) {
        if (names.size() == kMaxMachinesPerTermination) break;
        auto& machine = *context_.cluster.machines[i];
        machine.terminating = true;
        names.push_back(machine.name);
    }
    if (names.empty()) return;
    terminating_ = true;
    asio::co_spawn(context_.io, terminate(context_.keep_alive(), std::move(names)), asio::detached);
}

void InstanceManager::drain_one_machine() {
    next_drain_at_ = context_.now + kDrainInterval_s;
    auto index = plan_drain(context_.cluster, usable_predicate(context_), context_.now);
    if (index == kNone) return;
    auto& machine = *context_.cluster.machines[index];
    spdlog::info("machine: {} draining, moving {} tasks", machine.name, machine.tasks.size());
    machine.draining = true;
    auto tasks = machine.tasks;  // a copy, as stop_task may change the machine's list
    for (auto& ref : tasks) task_lifecycle_.stop_task(ref.job, ref.task, true);
}

void InstanceManager::scale_out() {
    auto requests = plan_scale_out(context_.cluster, usable_predicate(context_),
                                   autoscaler_settings(context_), context_.now);
    if (requests.empty()) return;
    provisioning_ = true;
    asio::co_spawn(context_.io, provision(context_.keep_alive(), std::move(requests)),
                   asio::detached);
}

// Calls to the cloud.

void InstanceManager::start_polling_types() {
    asio::co_spawn(context_.io, poll_types(context_.keep_alive()), asio::detached);
}

void InstanceManager::start_polling_list() {
    asio::co_spawn(context_.io, poll_list(context_.keep_alive()), asio::detached);
}

asio::awaitable<void> InstanceManager::poll_types(std::shared_ptr<void> keep_alive) {
    (void)keep_alive;
    while (!context_.stopped) {
        auto response = co_await cloud_.call("GET", paths::kMachineTypes, "", kReadTimeout_s);
        bool succeeded = false;
        if (response && response->status == 200) {
            try {
                auto types = parse_machine_types(response->body);
                context_.post(MachineTypesRead{std::move(types)});
                succeeded = true;
            } catch (const BadMessage& e) {
                spdlog::error("cloud: malformed machine types: {}", e.what());
            }
        }
        co_await sleep_s(succeeded ? kTypesPollInterval_s : kTypesRetryDelay_s);
    }
}

asio::awaitable<void> InstanceManager::poll_list(std::shared_ptr<void> keep_alive) {
    (void)keep_alive;
    while (!context_.stopped) {
        auto machines = co_await read_list();
        bool succeeded = machines.has_value();
        if (succeeded) context_.post(MachineListRead{std::move(*machines)});
        co_await sleep_s(succeeded ? kListPollInterval_s : kListRetryDelay_s);
    }
}

// Returns the machines of all pages of the list, or nothing if a page could not be read.
asio::awaitable<std::optional<std::vector<ListedMachine>>> InstanceManager::read_list() {
    std::vector<ListedMachine> all;
    std::string after;
    for (bool more = true; more;) {
        auto target = machine_list_target(after, kMachinesPerListPage);
        auto response = co_await cloud_.call("GET", std::move(target), "", kReadTimeout_s);
        if (!response || response->status != 200) co_return std::nullopt;
        try {
            auto page = parse_machine_page(response->body);
            more = page.has_more && !page.machines.empty();
            if (!page.machines.empty()) after = page.machines.back().name;
            std::ranges::move(page.machines, std::back_inserter(all));
        } catch (const BadMessage& e) {
            spdlog::error("cloud: malformed machine list: {}", e.what());
            co_return std::nullopt;
        }
    }
    co_return all;
}

asio::awaitable<void> InstanceManager::provision(std::shared_ptr<void> keep_alive,
                                                 std::vector<ScaleOutRequest> requests) {
    (void)keep_alive;
    for (auto& request : requests) {
        auto names = co_await provision_one(request);
        if (!names) co_return;
        context_.post(MachinesProvisioned{request, std::move(*names)});
    }
    context_.post(ScaleOutFinished{});
}

// Returns the names of the provisioned machines, which are fewer than requested if the cloud lacks
// capacity. Returns nothing if the term is over.
asio::awaitable<std::optional<std::vector<std::string>>> InstanceManager::provision_one(
    ScaleOutRequest request) {
    // The id is globally unique: each leadership term has its own fencing token, and each request
    // of the term its own number.
    auto id = fmt::format("w{}-{}", context_.term->fencing_token, ++provision_requests_);
    auto body = provision_request_json(id, context_.cluster.names.types.name(request.type),
                                       context_.cluster.names.zones.name(request.zone),
                                       request.spot, request.count);
    std::vector<std::string> none;
    while (!context_.stopped) {
        auto response = co_await cloud_.call("POST", paths::kMachines, body, kWriteTimeout_s);
        if (context_.stopped) break;
        if (response && response->status == 200) {
            try {
                co_return parse_provisioned_machines(response->body);
            } catch (const BadMessage& e) {
                spdlog::error("cloud: malformed response to a scale-out request: {}", e.what());
            }
        } else if (response && response->status == 503 && is_no_capacity_error(response->body)) {
            co_return none;
        } else if (response && response->status == 400) {
            spdlog::error("cloud: scale-out request rejected with status 400: {}", body);
            co_return none;
        }
        // Without a usable response, the request is sent again with the same id, which the cloud
        // executes only once.
    }
    co_return std::nullopt;
}

asio::awaitable<void> InstanceManager::terminate(std::shared_ptr<void> keep_alive,
                                                 std::vector<std::string> names) {
    (void)keep_alive;
    auto body = termination_request_json(names);
    auto response =
        co_await cloud_.call("POST", paths::kTerminateMachines, std::move(body), kWriteTimeout_s);
    // Without a response, the machines may or may not be terminated. They stay out of use until a
    // later request terminates them.
    context_.post(MachinesTerminated{std::move(names), response && response->status == 200});
}

}  // namespace weirmill
