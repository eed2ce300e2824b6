// The leader: machines that come and go, and the cloud.
#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "controller/leader.h"
#include "controller/planning_inputs.h"
#include "protocol/cloud_codec.h"
#include "protocol/paths.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

constexpr double kClosingPause_s =
    4;  // one machine at a time: its tasks must find their places first
// A silent machine's replacement has to boot. Where a whole zone is silent the machines are sound
// and will come back with their images, which a replacement would have to fetch as well.
constexpr double kAloneBoots = 1;
constexpr double kCutBoots = 3;

}  // namespace

// Everything on the machine is proven gone.
void Leader::machine_gone(Index index, const char* why) {
    auto& m = *context_.cluster.machines[index];
    spdlog::info("machine: {} gone, {} tasks={}", m.name, why, m.tasks.size());
    auto tasks = m.tasks;
    for (auto& ref : tasks)
        if (context_.cluster.jobs[ref.job]->tasks[ref.task].machine == index)
            task_lifecycle_.lose_task(ref.job, ref.task);
    heartbeat_handler_.drop_held(index);
    stop_sender_.drop_stops(index);
    context_.scheduling_needed = true;
}

// Until a machine rented in place of this one would do the same work.
double Leader::replacement_s(const Machine& m, bool cut_off) const {
    if (m.type >= context_.cluster.types.size() || !context_.cluster.types[m.type].offered)
        return 0;
    return (cut_off ? kCutBoots : kAloneBoots) * context_.cluster.boot_factor *
           context_.cluster.types[m.type].type.boot_s;
}

void Leader::check_machines() {
    if (heartbeat_handler_.past_grace()) responses_blocked_at_ = context_.now;
    auto cut = silent_zones(context_.cluster, usable_now(context_));
    size_t downlink_lost = 0, up = 0;
    for (auto& m : context_.cluster.machines) {
        up += m && m->up;
        downlink_lost += m && m->up && m->downlink.downlink_lost();
    }
    for (Index i = 0; i < context_.cluster.machines.size(); ++i) {
        auto* m = context_.cluster.machines[i].get();
        if (!m) continue;
        // Until its lease has surely run out, whatever was placed there may be running.
        bool expired =
            context_.now > worker_lease_expiry(context_.settings, *m, context_.term->won);
        if (expired && m->up) {
            machine_gone(i, "its lease ran out");
            m->up = false;
            m->saw_fencing_token = false;
            // Should it come back under its name with counts that begin anew, they are not taken
            // for copies.
            reset_downlink(m->downlink, {m->agent_epoch, m->seq});
            m->agent_epoch = m->seq = 0;
            continue;
        }
        if (m->up && !m->abandoned &&
            should_replace_unreachable(m->downlink, replacement_s(*m, false), downlink_lost, up,
                                       context_.settings, context_.now)) {
            spdlog::info("machine: {} did not hear its answers for too long, returned", m->name);
            m->abandoned = true;
        }
        // Not heard of for so long that it is given back. A replacement has to boot and to fetch
        // its images again: for as long as that takes, the machine may just as well come back. A
        // cut of 20 s once cost a whole zone's machines. After an outage in which this leader
        // itself fell silent, all will report again.
        bool running = m->up_at > 0 || m->status == MachineStatus::Running;
        if (!m->up && running && !m->abandoned &&
            context_.now -
                    std::max({m->last_heartbeat, responses_blocked_at_, context_.term->won}) >
                context_.settings.lease_s +
                    replacement_s(*m, m->zone < cut.size() && cut[m->zone])) {
            spdlog::info("machine: {} not heard of for too long, returned", m->name);
            m->abandoned = true;
        }
        if (expired && !m->up && !m->tasks.empty())
            machine_gone(i, "not heard of since the change of leader");
        if (!m->up && m->tasks.empty() && !m->terminating) {
            bool lost = m->listed ? m->missing && context_.now - m->missing_since >
                                                      2 * context_.settings.list_lag_s + 2
                                  : context_.now - m->added >
                                        std::max(60.0, 6 * context_.settings.list_lag_s);
            if (lost) {
                spdlog::info("machine: {} no longer known", m->name);
                context_.cluster.remove_machine(i);
                continue;
            }
        }
        // Silent, and no longer listed: taken, as it seems. To return it costs nothing and proves
        // it gone, long before its lease would.
        bool silent = context_.now - std::max(m->last_heartbeat, context_.term->won) >
                      silence_s(context_.settings);
        bool unlisted = listed_once_ && (m->listed ? m->missing
                                                   : context_.now - m->added >
                                                         2 * context_.settings.list_lag_s + 1);
        if (silent && unlisted && !m->abandoned && (m->up || !m->tasks.empty())) {
            spdlog::info("machine: {} is silent and not listed, returned", m->name);
            m->abandoned = true;
        }
        if (!m->up && m->status == MachineStatus::Booting && !m->abandoned &&
            m->type < context_.cluster.types.size() && context_.cluster.types[m->type].offered &&
            context_.now - m->requested_at > 3 * context_.cluster.types[m->type].type.boot_s + 5) {
            context_.cluster.learn_boot(m->type, context_.now - m->requested_at);
            spdlog::info("machine: {} given up after booting {:.0f}s", m->name,
                         context_.now - m->requested_at);
            m->abandoned = true;
        }
        if (m->missing && m->abandoned && m->tasks.empty() && !m->terminating) {
            context_.cluster.remove_machine(i);
        }
    }
    std::erase_if(gone_, [&](auto& g) { return context_.now - g.second > 600; });
    std::erase_if(context_.cluster.refusals, [&](auto& r) { return r.first <= context_.now; });
}

// Recorded, so that the next leader can decide about submissions while the cloud does not answer.
void Leader::handle(MachineTypesRead& m) {
    auto without_prices = m.types;
    for (auto& t : without_prices) t.price = t.spot_price = 0;
    auto shape = machine_types_json(without_prices);
    auto record = machine_types_json(m.types);
    if (shape != recorded_shape_ && record != recorded_types_ &&
        record.size() < context_.settings.value_kb * 1024) {
        recorded_shape_ = shape;
        context_.state_log.note(kTypesKey, record);
    }
    context_.cluster.set_types(std::move(m.types));
}

void Leader::handle(MachineListRead& list) {
    listed_once_ = true;
    std::set<std::string_view> seen;
    for (auto& l : list.machines) {
        if (gone_.count(l.name)) continue;
        seen.insert(l.name);
        bool fresh = context_.cluster.find_machine(l.name) == kNone;
        auto index = context_.cluster.add_machine(l.name, context_.now);
        auto& m = *context_.cluster.machines[index];
        if (fresh) spdlog::debug("machine: {} found in the list", l.name);
        if (!m.listed) m.requested_at = std::min(m.requested_at, context_.now - l.age_s);
        m.listed = true;
        m.missing = false;
        if (m.addr.empty()) m.addr = l.addr;
        if (m.type == kNone || m.size == Resources{})
            context_.cluster.describe_machine(m, l.type, l.zone, l.spot);
        if (l.status == MachineStatus::Failed && m.status != MachineStatus::Failed) {
            m.status = MachineStatus::Failed;
            machine_gone(index, "failed");
            m.up = false;
        } else if (l.status == MachineStatus::Running && m.status == MachineStatus::Booting) {
            m.status = MachineStatus::Running;
        }
    }
    for (auto& m : context_.cluster.machines) {
        if (!m || !m->listed || seen.count(m->name) || m->missing) continue;
        m->missing = true;
        m->missing_since = context_.now;
    }
}

void Leader::autoscale() {
    if (!context_.cluster.types_known || !listed_once_ || !may_decide()) return;
    if (!terminating_) {
        auto idle = plan_scale_in(context_.cluster, autoscaler_settings(context_), context_.now);
        std::vector<std::string> names;
        for (auto i : idle) {
            if (names.size() == 100) break;
            auto& m = *context_.cluster.machines[i];
            m.terminating = true;
            names.push_back(m.name);
        }
        if (!names.empty()) {
            terminating_ = true;
            asio::co_spawn(context_.io, terminate(shared_from_this(), std::move(names)),
                           asio::detached);
        }
    }
    auto can_use = usable_now(context_);
    if (context_.now >= next_drain_) {
        next_drain_ = context_.now + kClosingPause_s;
        if (auto i = plan_drain(context_.cluster, can_use, context_.now); i != kNone) {
            auto& m = *context_.cluster.machines[i];
            spdlog::info("machine: {} closed, {} tasks move", m.name, m.tasks.size());
            m.draining = true;
            auto tasks = m.tasks;
            for (auto& ref : tasks) task_lifecycle_.stop_task(ref.job, ref.task, true);
        }
    }
    if (!provisioning_ && context_.now >= provision_not_before_) {
        auto rentals =
            plan_scale_out(context_.cluster, can_use, autoscaler_settings(context_), context_.now);
        if (!rentals.empty()) {
            provisioning_ = true;
            asio::co_spawn(context_.io, provision(shared_from_this(), std::move(rentals)),
                           asio::detached);
        }
    }
}

void Leader::handle(MachinesProvisioned& r) {
    auto& type = context_.cluster.names.types.name(r.request.type);
    auto& zone = context_.cluster.names.zones.name(r.request.zone);
    spdlog::info("cloud: rented {}/{} of {} in {} spot={}", r.names.size(), r.request.count, type,
                 zone, r.request.spot);
    context_.metrics.count("machines_rented_total", r.names.size());
    for (auto& name : r.names) {
        if (gone_.count(name)) continue;
        auto& m = *context_.cluster.machines[context_.cluster.add_machine(name, context_.now)];
        if (m.type == kNone) context_.cluster.describe_machine(m, type, zone, r.request.spot);
        m.provisioned_here = true;
    }
    if (r.names.size() < static_cast<size_t>(r.request.count))
        context_.cluster.refusals.push_back(
            {context_.now + std::uniform_real_distribution<double>(12, 18)(context_.random),
             {r.request.type, r.request.zone, r.request.spot}});
}

void Leader::handle(ScaleOutFinished&) {
    provisioning_ = false;
    next_autoscale_ = std::min(next_autoscale_, context_.now + 0.2);
}

void Leader::handle(MachinesTerminated& r) {
    terminating_ = false;
    for (auto& name : r.names) {
        auto index = context_.cluster.find_machine(name);
        if (r.done) gone_[name] = context_.now;
        if (index == kNone) continue;
        if (!r.done) {
            context_.cluster.machines[index]->terminating = false;
            context_.cluster.machines[index]->abandoned = true;
            continue;
        }
        machine_gone(index, "returned");
        context_.cluster.remove_machine(index);
    }
}

asio::awaitable<std::optional<HttpAnswer>> Leader::cloud_call(const char* method,
                                                              std::string target, std::string body,
                                                              double timeout_s) {
    while (!context_.stopped) {
        double now = steady_now();
        if (now >= cloud_pause_until_ && cloud_budget_.available(now) >= 1) break;
        co_await sleep_s(0.1);
    }
    cloud_budget_.take(1);
    auto answer = co_await cloud_.request(method, std::move(target), std::move(body), timeout_s);
    bool trouble = !answer || answer->status == 429 ||
                   (answer->status == 503 && !says_no_capacity(answer->body));
    if (trouble)
        cloud_pause_until_ =
            steady_now() + std::uniform_real_distribution<double>(0.8, 1.6)(context_.random);
    co_return answer;
}

asio::awaitable<void> Leader::types_loop(std::shared_ptr<Leader> self) {
    while (!context_.stopped) {
        auto answer = co_await cloud_call("GET", paths::kMachineTypes, "", 3);
        bool good = false;
        if (answer && answer->status == 200) {
            try {
                auto types = parse_machine_types(answer->body);
                post(MachineTypesRead{std::move(types)});
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
    while (!context_.stopped) {
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
        if (good) post(MachineListRead{std::move(all)});
        co_await sleep_s(good ? 2.5 : 1.0);
    }
    (void)self;
}

asio::awaitable<void> Leader::provision(std::shared_ptr<Leader> self,
                                        std::vector<ScaleOutRequest> rentals) {
    for (auto& r : rentals) {
        // Unique for ever: no other leader has this token, and no other rental of this leader this
        // number.
        auto request = fmt::format("w{}-{}", context_.term->fencing_token, ++provision_count_);
        auto body = rental_json(request, context_.cluster.names.types.name(r.type),
                                context_.cluster.names.zones.name(r.zone), r.spot, r.count);
        while (!context_.stopped) {
            auto answer = co_await cloud_call("POST", paths::kMachines, body, 4);
            if (context_.stopped) co_return;
            if (answer && answer->status == 200) {
                try {
                    post(MachinesProvisioned{r, parse_rented(answer->body)});
                    break;
                } catch (const BadMessage& e) {
                    spdlog::error("cloud: malformed answer to a rental: {}", e.what());
                }
            } else if (answer && answer->status == 503 && says_no_capacity(answer->body)) {
                post(MachinesProvisioned{r, {}});
                break;
            } else if (answer && answer->status == 400) {
                spdlog::error("cloud: rental refused as malformed: {}", body);
                post(MachinesProvisioned{r, {}});
                break;
            }
            // No answer or trouble: the same request again, as its name rents once.
        }
    }
    self->post(ScaleOutFinished{});
}

asio::awaitable<void> Leader::terminate(std::shared_ptr<Leader> self,
                                        std::vector<std::string> names) {
    auto answer = co_await cloud_call("POST", paths::kReturn, return_json(names), 4);
    // Without an answer they may be gone or not: they stay out of use and are returned again.
    self->post(MachinesTerminated{std::move(names), answer && answer->status == 200});
}

}  // namespace weirmill
