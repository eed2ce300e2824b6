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

// One machine at a time: its tasks must find their places first.
constexpr double kDrainPause_s = 4;
// A silent machine's replacement has to boot. Where a whole zone is silent the machines are sound
// and will come back with their images, which a replacement would have to fetch as well.
constexpr double kReplacementBoots = 1;
constexpr double kSilentZoneReplacementBoots = 3;
constexpr size_t kMaxTerminatedAtOnce = 100;
constexpr double kRememberTerminated_s = 600;
constexpr int kListPageMachines = 500;
// Until the cloud is asked again for a type that it had none of.
constexpr double kMinRefusalPause_s = 12, kMaxRefusalPause_s = 18;
constexpr double kTypesPause_s = 20, kTypesRetry_s = 0.5;
constexpr double kListPause_s = 2.5, kListRetry_s = 1.0;
constexpr double kReadTimeout_s = 3, kChangeTimeout_s = 4;

}  // namespace

// ---- machines that are lost ----

// Everything on the machine is proven gone.
void InstanceManager::machine_gone(Index index, const char* why) {
    auto& machine = *context_.cluster.machines[index];
    spdlog::info("machine: {} gone, {} tasks={}", machine.name, why, machine.tasks.size());
    auto tasks = machine.tasks;  // lose_task changes the machine's own
    for (auto& ref : tasks)
        if (context_.cluster.jobs[ref.job]->tasks[ref.task].machine == index)
            task_lifecycle_.lose_task(ref.job, ref.task);
    heartbeat_handler_.drop_held(index);
    stop_sender_.drop_stops(index);
    context_.scheduling_needed = true;
}

bool InstanceManager::is_offered(const Machine& machine) const {
    const auto& types = context_.cluster.types;
    return machine.type < types.size() && types[machine.type].offered;
}

// Seconds until a machine provisioned in place of this one would do the same work.
double InstanceManager::replacement_s(const Machine& machine, bool zone_silent) const {
    if (!is_offered(machine)) return 0;
    return (zone_silent ? kSilentZoneReplacementBoots : kReplacementBoots) *
           context_.cluster.boot_factor * context_.cluster.types[machine.type].type.boot_s;
}

InstanceManager::FleetView InstanceManager::fleet_view() const {
    FleetView fleet;
    fleet.silent_zones = silent_zones(context_.cluster, usable_now(context_));
    for (auto& machine : context_.cluster.machines) {
        if (!machine || !machine->up) continue;
        ++fleet.up;
        fleet.downlink_lost += machine->downlink.downlink_lost();
    }
    return fleet;
}

void InstanceManager::check_machines() {
    if (heartbeat_handler_.past_grace()) responses_blocked_at_ = context_.now;
    auto fleet = fleet_view();
    for (Index i = 0; i < context_.cluster.machines.size(); ++i)
        if (auto* machine = context_.cluster.machines[i].get()) check_machine(i, *machine, fleet);
    std::erase_if(terminated_,
                  [&](auto& t) { return context_.now - t.second > kRememberTerminated_s; });
    std::erase_if(context_.cluster.refusals, [&](auto& r) { return r.first <= context_.now; });
}

void InstanceManager::check_machine(Index index, Machine& machine, const FleetView& fleet) {
    // Until its lease has certainly run out, whatever was placed there may be running.
    bool expired =
        context_.now > worker_lease_expiry(context_.settings, machine, context_.term->won);
    if (expired && machine.up) return lease_expired(index, machine);
    abandon_unreachable(machine, fleet);
    abandon_unheard(machine, fleet);
    if (expired && !machine.up && !machine.tasks.empty())
        machine_gone(index, "no heartbeat since the failover");
    if (is_lost(machine)) {
        spdlog::info("machine: {} no longer known", machine.name);
        context_.cluster.remove_machine(index);
        return;
    }
    abandon_unlisted(machine);
    abandon_failed_boot(machine);
    if (machine.missing && machine.abandoned && machine.tasks.empty() && !machine.terminating)
        context_.cluster.remove_machine(index);
}

void InstanceManager::lease_expired(Index index, Machine& machine) {
    machine_gone(index, "its lease ran out");
    machine.up = false;
    machine.saw_fencing_token = false;
    // Should it come back under its name with counts that begin anew, they are not taken for
    // copies.
    reset_downlink(machine.downlink, {machine.agent_epoch, machine.seq});
    machine.agent_epoch = machine.seq = 0;
}

// Its heartbeats arrive, and the responses do not.
void InstanceManager::abandon_unreachable(Machine& machine, const FleetView& fleet) const {
    if (!machine.up || machine.abandoned) return;
    if (!should_replace_unreachable(machine.downlink, replacement_s(machine, false),
                                    fleet.downlink_lost, fleet.up, context_.settings, context_.now))
        return;
    spdlog::info("machine: {} downlink lost for too long, terminated", machine.name);
    machine.abandoned = true;
}

// Without a heartbeat for so long that it is terminated. A replacement has to boot and to fetch its
// images again: for as long as that takes, the machine may just as well come back. A network
// partition of 20 s once cost a whole zone's machines. After an outage in which this leader itself
// could not answer, all will send heartbeats again.
void InstanceManager::abandon_unheard(Machine& machine, const FleetView& fleet) const {
    bool running = machine.up_at > 0 || machine.status == MachineStatus::Running;
    if (machine.up || !running || machine.abandoned) return;
    bool zone_silent = machine.zone < fleet.silent_zones.size() && fleet.silent_zones[machine.zone];
    double since = std::max({machine.last_heartbeat, responses_blocked_at_, context_.term->won});
    if (context_.now - since <= context_.settings.lease_s + replacement_s(machine, zone_silent))
        return;
    spdlog::info("machine: {} no heartbeat for too long, terminated", machine.name);
    machine.abandoned = true;
}

// The cloud's list does not show it, although it would by now.
bool InstanceManager::is_lost(const Machine& machine) const {
    if (machine.up || !machine.tasks.empty() || machine.terminating) return false;
    double list_lag_s = context_.settings.list_lag_s;
    if (machine.listed)
        return machine.missing && context_.now - machine.missing_since > 2 * list_lag_s + 2;
    return context_.now - machine.added > std::max(60.0, 6 * list_lag_s);
}

// Silent, and no longer listed: interrupted, as it seems. To terminate it costs nothing and proves
// it gone, long before its lease would.
void InstanceManager::abandon_unlisted(Machine& machine) const {
    bool silent = context_.now - std::max(machine.last_heartbeat, context_.term->won) >
                  silence_s(context_.settings);
    bool overdue = context_.now - machine.added > 2 * context_.settings.list_lag_s + 1;
    bool unlisted = listed_once_ && (machine.listed ? machine.missing : overdue);
    if (!silent || !unlisted || machine.abandoned) return;
    if (!machine.up && machine.tasks.empty()) return;
    spdlog::info("machine: {} is silent and not listed, terminated", machine.name);
    machine.abandoned = true;
}

void InstanceManager::abandon_failed_boot(Machine& machine) {
    if (machine.up || machine.status != MachineStatus::Booting || machine.abandoned) return;
    if (!is_offered(machine)) return;
    double boot_s = context_.now - machine.requested_at;
    if (boot_s <= 3 * context_.cluster.types[machine.type].type.boot_s + 5) return;
    context_.cluster.learn_boot(machine.type, boot_s);
    spdlog::info("machine: {} given up after booting {:.0f}s", machine.name, boot_s);
    machine.abandoned = true;
}

// ---- what the cloud says ----

// Recorded, so that the next leader can decide about submissions while the cloud does not answer.
void InstanceManager::handle(MachineTypesRead& message) {
    auto types = message.types;
    for (auto& type : types) type.price = type.spot_price = 0;
    auto without_prices = machine_types_json(types);
    auto record = machine_types_json(message.types);
    bool fits = static_cast<double>(record.size()) < context_.settings.value_kb * 1024;
    if (without_prices != recorded_without_prices_ && record != recorded_types_ && fits) {
        recorded_without_prices_ = without_prices;
        context_.state_log.note(kTypesKey, record);
    }
    context_.cluster.set_types(std::move(message.types));
}

void InstanceManager::handle(MachineListRead& message) {
    listed_once_ = true;
    std::set<std::string_view> listed_names;
    for (auto& listed : message.machines) {
        if (is_terminated(listed.name)) continue;
        listed_names.insert(listed.name);
        machine_listed(listed);
    }
    for (auto& machine : context_.cluster.machines) {
        if (!machine || !machine->listed || machine->missing) continue;
        if (listed_names.contains(machine->name)) continue;
        machine->missing = true;
        machine->missing_since = context_.now;
    }
}

void InstanceManager::machine_listed(const ListedMachine& listed) {
    bool is_new = context_.cluster.find_machine(listed.name) == kNone;
    auto index = context_.cluster.add_machine(listed.name, context_.now);
    auto& machine = *context_.cluster.machines[index];
    if (is_new) spdlog::debug("machine: {} found in the list", listed.name);
    if (!machine.listed)
        machine.requested_at = std::min(machine.requested_at, context_.now - listed.age_s);
    machine.listed = true;
    machine.missing = false;
    if (machine.addr.empty()) machine.addr = listed.addr;
    if (machine.type == kNone || machine.size == Resources{})
        context_.cluster.describe_machine(machine, listed.type, listed.zone, listed.spot);
    if (listed.status == MachineStatus::Failed && machine.status != MachineStatus::Failed) {
        machine.status = MachineStatus::Failed;
        machine_gone(index, "failed");
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
    spdlog::info("cloud: provisioned {}/{} of {} in {} spot={}", message.names.size(),
                 request.count, type, zone, request.spot);
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
    std::uniform_real_distribution<double> pause_s(kMinRefusalPause_s, kMaxRefusalPause_s);
    context_.cluster.refusals.push_back(
        {context_.now + pause_s(context_.random), {request.type, request.zone, request.spot}});
}

void InstanceManager::handle(MachinesTerminated& message) {
    terminating_ = false;
    for (auto& name : message.names) {
        auto index = context_.cluster.find_machine(name);
        if (message.done) terminated_[name] = context_.now;
        if (index == kNone) continue;
        if (message.done) {
            machine_gone(index, "terminated");
            context_.cluster.remove_machine(index);
            continue;
        }
        context_.cluster.machines[index]->terminating = false;
        context_.cluster.machines[index]->abandoned = true;
    }
}

// ---- the autoscaler ----

void InstanceManager::autoscale() {
    if (!context_.cluster.types_known || !listed_once_ || !may_decide_()) return;
    if (!terminating_) scale_in();
    if (context_.now >= next_drain_) drain_one();
    if (!provisioning_ && context_.now >= provision_not_before_) scale_out();
}

void InstanceManager::scale_in() {
    std::vector<std::string> names;
    for (auto i : plan_scale_in(context_.cluster, autoscaler_settings(context_), context_.now)) {
        if (names.size() == kMaxTerminatedAtOnce) break;
        auto& machine = *context_.cluster.machines[i];
        machine.terminating = true;
        names.push_back(machine.name);
    }
    if (names.empty()) return;
    terminating_ = true;
    asio::co_spawn(context_.io, terminate(context_.keep_alive(), std::move(names)), asio::detached);
}

void InstanceManager::drain_one() {
    next_drain_ = context_.now + kDrainPause_s;
    auto index = plan_drain(context_.cluster, usable_now(context_), context_.now);
    if (index == kNone) return;
    auto& machine = *context_.cluster.machines[index];
    spdlog::info("machine: {} draining, {} tasks move", machine.name, machine.tasks.size());
    machine.draining = true;
    auto tasks = machine.tasks;  // a stop may change the machine's own
    for (auto& ref : tasks) task_lifecycle_.stop_task(ref.job, ref.task, true);
}

void InstanceManager::scale_out() {
    auto requests = plan_scale_out(context_.cluster, usable_now(context_),
                                   autoscaler_settings(context_), context_.now);
    if (requests.empty()) return;
    provisioning_ = true;
    asio::co_spawn(context_.io, provision(context_.keep_alive(), std::move(requests)),
                   asio::detached);
}

// ---- calls to the cloud ----

void InstanceManager::start_reading_types() {
    asio::co_spawn(context_.io, read_types(context_.keep_alive()), asio::detached);
}

void InstanceManager::start_reading_list() {
    asio::co_spawn(context_.io, read_lists(context_.keep_alive()), asio::detached);
}

asio::awaitable<void> InstanceManager::read_types(std::shared_ptr<void> keep_alive) {
    (void)keep_alive;
    while (!context_.stopped) {
        auto answer = co_await cloud_.call("GET", paths::kMachineTypes, "", kReadTimeout_s);
        bool good = false;
        if (answer && answer->status == 200) {
            try {
                auto types = parse_machine_types(answer->body);
                context_.post(MachineTypesRead{std::move(types)});
                good = true;
            } catch (const BadMessage& e) {
                spdlog::error("cloud: malformed machine types: {}", e.what());
            }
        }
        co_await sleep_s(good ? kTypesPause_s : kTypesRetry_s);
    }
}

asio::awaitable<void> InstanceManager::read_lists(std::shared_ptr<void> keep_alive) {
    (void)keep_alive;
    while (!context_.stopped) {
        auto machines = co_await read_list();
        bool good = machines.has_value();
        if (good) context_.post(MachineListRead{std::move(*machines)});
        co_await sleep_s(good ? kListPause_s : kListRetry_s);
    }
}

// All pages of the list. Nothing: not all could be read.
asio::awaitable<std::optional<std::vector<ListedMachine>>> InstanceManager::read_list() {
    std::vector<ListedMachine> all;
    std::string after;
    for (bool more = true; more;) {
        auto target = machine_list_target(after, kListPageMachines);
        auto answer = co_await cloud_.call("GET", std::move(target), "", kReadTimeout_s);
        if (!answer || answer->status != 200) co_return std::nullopt;
        try {
            auto page = parse_machine_page(answer->body);
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

// The names of the machines, fewer than asked for where the cloud has no more. Nothing: the term is
// over.
asio::awaitable<std::optional<std::vector<std::string>>> InstanceManager::provision_one(
    ScaleOutRequest request) {
    // Unique for ever: no other leader has this fencing token, and no other request of this leader
    // this number.
    auto id = fmt::format("w{}-{}", context_.term->fencing_token, ++provision_count_);
    auto body = provision_request_json(id, context_.cluster.names.types.name(request.type),
                                       context_.cluster.names.zones.name(request.zone),
                                       request.spot, request.count);
    std::vector<std::string> none;
    while (!context_.stopped) {
        auto answer = co_await cloud_.call("POST", paths::kMachines, body, kChangeTimeout_s);
        if (context_.stopped) break;
        if (answer && answer->status == 200) {
            try {
                co_return parse_provisioned_machines(answer->body);
            } catch (const BadMessage& e) {
                spdlog::error("cloud: malformed response to a scale-out request: {}", e.what());
            }
        } else if (answer && answer->status == 503 && is_no_capacity_error(answer->body)) {
            co_return none;
        } else if (answer && answer->status == 400) {
            spdlog::error("cloud: scale-out request refused as malformed: {}", body);
            co_return none;
        }
        // No answer or trouble: the same request again, as the cloud executes one id once.
    }
    co_return std::nullopt;
}

asio::awaitable<void> InstanceManager::terminate(std::shared_ptr<void> keep_alive,
                                                 std::vector<std::string> names) {
    (void)keep_alive;
    auto body = termination_request_json(names);
    auto answer =
        co_await cloud_.call("POST", paths::kTerminateMachines, std::move(body), kChangeTimeout_s);
    // Without an answer they may be gone or not: they stay out of use and are terminated again.
    context_.post(MachinesTerminated{std::move(names), answer && answer->status == 200});
}

}  // namespace weirmill
