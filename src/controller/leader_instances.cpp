// The leader: machines that come and go, and the cloud.
#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "controller/leader.h"
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
constexpr double kStopped_s = 3;  // from the order to a task until its place is free

}  // namespace

// Everything on the machine is proven gone.
void Leader::machine_gone(Index index, const char* why) {
    auto& m = *cluster_.machines[index];
    spdlog::info("machine: {} gone, {} tasks={}", m.name, why, m.tasks.size());
    auto tasks = m.tasks;
    for (auto& ref : tasks)
        if (cluster_.jobs[ref.job]->tasks[ref.task].machine == index) lose_task(ref.job, ref.task);
    if (auto it = held_.find(index); it != held_.end()) {
        it->second.reply.set({503, "{}"});
        held_.erase(it);
    }
    direct_.erase(index);
    dirty_ = true;
}

// Until a machine rented in place of this one would do the same work.
double Leader::replacement_s(const Machine& m, bool cut_off) const {
    if (m.type >= cluster_.types.size() || !cluster_.types[m.type].offered) return 0;
    return (cut_off ? kCutBoots : kAloneBoots) * cluster_.boot_factor *
           cluster_.types[m.type].type.boot_s;
}

void Leader::check_machines() {
    if (past_grace()) responses_blocked_at_ = now_;
    auto cut = silent_zones(cluster_, usable_now());
    size_t downlink_lost = 0, up = 0;
    for (auto& m : cluster_.machines) {
        up += m && m->up;
        downlink_lost += m && m->up && m->downlink.downlink_lost();
    }
    for (Index i = 0; i < cluster_.machines.size(); ++i) {
        auto* m = cluster_.machines[i].get();
        if (!m) continue;
        // Until its lease has surely run out, whatever was placed there may be running.
        bool expired = now_ > worker_lease_expiry(settings_, *m, term_->won);
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
                                       settings_, now_)) {
            spdlog::info("machine: {} did not hear its answers for too long, returned", m->name);
            m->abandoned = true;
        }
        // Not heard of for so long that it is given back. A replacement has to boot and to fetch
        // its images again: for as long as that takes, the machine may just as well come back. A
        // cut of 20 s once cost a whole zone's machines. After an outage in which this leader
        // itself fell silent, all will report again.
        bool running = m->up_at > 0 || m->status == MachineStatus::Running;
        if (!m->up && running && !m->abandoned &&
            now_ - std::max({m->last_heartbeat, responses_blocked_at_, term_->won}) >
                settings_.lease_s + replacement_s(*m, m->zone < cut.size() && cut[m->zone])) {
            spdlog::info("machine: {} not heard of for too long, returned", m->name);
            m->abandoned = true;
        }
        if (expired && !m->up && !m->tasks.empty())
            machine_gone(i, "not heard of since the change of leader");
        if (!m->up && m->tasks.empty() && !m->terminating) {
            bool lost = m->listed
                            ? m->missing && now_ - m->missing_since > 2 * settings_.list_lag_s + 2
                            : now_ - m->added > std::max(60.0, 6 * settings_.list_lag_s);
            if (lost) {
                spdlog::info("machine: {} no longer known", m->name);
                cluster_.remove_machine(i);
                continue;
            }
        }
        // Silent, and no longer listed: taken, as it seems. To return it costs nothing and proves
        // it gone, long before its lease would.
        bool silent = now_ - std::max(m->last_heartbeat, term_->won) > silence_s();
        bool unlisted = listed_once_ &&
                        (m->listed ? m->missing : now_ - m->added > 2 * settings_.list_lag_s + 1);
        if (silent && unlisted && !m->abandoned && (m->up || !m->tasks.empty())) {
            spdlog::info("machine: {} is silent and not listed, returned", m->name);
            m->abandoned = true;
        }
        if (!m->up && m->status == MachineStatus::Booting && !m->abandoned &&
            m->type < cluster_.types.size() && cluster_.types[m->type].offered &&
            now_ - m->requested_at > 3 * cluster_.types[m->type].type.boot_s + 5) {
            cluster_.learn_boot(m->type, now_ - m->requested_at);
            spdlog::info("machine: {} given up after booting {:.0f}s", m->name,
                         now_ - m->requested_at);
            m->abandoned = true;
        }
        if (m->missing && m->abandoned && m->tasks.empty() && !m->terminating) {
            cluster_.remove_machine(i);
        }
    }
    std::erase_if(gone_, [&](auto& g) { return now_ - g.second > 600; });
    std::erase_if(cluster_.refusals, [&](auto& r) { return r.first <= now_; });
}

// Recorded, so that the next leader can decide about submissions while the cloud does not answer.
void Leader::handle(TypesRead& m) {
    auto without_prices = m.types;
    for (auto& t : without_prices) t.price = t.spot_price = 0;
    auto shape = machine_types_json(without_prices);
    auto record = machine_types_json(m.types);
    if (shape != recorded_shape_ && record != recorded_types_ &&
        record.size() < settings_.value_kb * 1024) {
        recorded_shape_ = shape;
        state_log_.note(kTypesKey, record);
    }
    cluster_.set_types(std::move(m.types));
}

void Leader::handle(ListRead& list) {
    listed_once_ = true;
    std::set<std::string_view> seen;
    for (auto& l : list.machines) {
        if (gone_.count(l.name)) continue;
        seen.insert(l.name);
        bool fresh = cluster_.find_machine(l.name) == kNone;
        auto index = cluster_.add_machine(l.name, now_);
        auto& m = *cluster_.machines[index];
        if (fresh) spdlog::debug("machine: {} found in the list", l.name);
        if (!m.listed) m.requested_at = std::min(m.requested_at, now_ - l.age_s);
        m.listed = true;
        m.missing = false;
        if (m.addr.empty()) m.addr = l.addr;
        if (m.type == kNone || m.size == Resources{})
            cluster_.describe_machine(m, l.type, l.zone, l.spot);
        if (l.status == MachineStatus::Failed && m.status != MachineStatus::Failed) {
            m.status = MachineStatus::Failed;
            machine_gone(index, "failed");
            m.up = false;
        } else if (l.status == MachineStatus::Running && m.status == MachineStatus::Booting) {
            m.status = MachineStatus::Running;
        }
    }
    for (auto& m : cluster_.machines) {
        if (!m || !m->listed || seen.count(m->name) || m->missing) continue;
        m->missing = true;
        m->missing_since = now_;
    }
}

AutoscalerSettings Leader::autoscaler_settings() const {
    // A round may just be over; then tasks save, and their workers say that they are gone.
    AutoscalerSettings s;
    s.idle_keep_boots = properties_.idle_keep_boots;
    s.heartbeat_interval_s = settings_.heartbeat_interval_s;
    s.clear_s = properties_.preemption_round_s + kStopped_s;
    return s;
}

void Leader::autoscale() {
    if (!cluster_.types_known || !listed_once_ || !may_decide()) return;
    if (!terminating_) {
        auto idle = plan_scale_in(cluster_, autoscaler_settings(), now_);
        std::vector<std::string> names;
        for (auto i : idle) {
            if (names.size() == 100) break;
            auto& m = *cluster_.machines[i];
            m.terminating = true;
            names.push_back(m.name);
        }
        if (!names.empty()) {
            terminating_ = true;
            asio::co_spawn(io_, terminate(shared_from_this(), std::move(names)), asio::detached);
        }
    }
    auto can_use = usable_now();
    if (now_ >= next_drain_) {
        next_drain_ = now_ + kClosingPause_s;
        if (auto i = plan_drain(cluster_, can_use, now_); i != kNone) {
            auto& m = *cluster_.machines[i];
            spdlog::info("machine: {} closed, {} tasks move", m.name, m.tasks.size());
            m.draining = true;
            auto tasks = m.tasks;
            for (auto& ref : tasks) stop_task(ref.job, ref.task, true);
        }
    }
    if (!provisioning_ && now_ >= provision_not_before_) {
        auto rentals = plan_scale_out(cluster_, can_use, autoscaler_settings(), now_);
        if (!rentals.empty()) {
            provisioning_ = true;
            asio::co_spawn(io_, provision(shared_from_this(), std::move(rentals)), asio::detached);
        }
    }
}

void Leader::handle(InstancesProvisioned& r) {
    auto& type = cluster_.names.types.name(r.rental.type);
    auto& zone = cluster_.names.zones.name(r.rental.zone);
    spdlog::info("cloud: rented {}/{} of {} in {} spot={}", r.names.size(), r.rental.count, type,
                 zone, r.rental.spot);
    metrics_.count("machines_rented_total", r.names.size());
    for (auto& name : r.names) {
        if (gone_.count(name)) continue;
        auto& m = *cluster_.machines[cluster_.add_machine(name, now_)];
        if (m.type == kNone) cluster_.describe_machine(m, type, zone, r.rental.spot);
        m.provisioned_here = true;
    }
    if (r.names.size() < static_cast<size_t>(r.rental.count))
        cluster_.refusals.push_back({now_ + std::uniform_real_distribution<double>(12, 18)(random_),
                                     {r.rental.type, r.rental.zone, r.rental.spot}});
}

void Leader::handle(ProvisionPassDone&) {
    provisioning_ = false;
    next_autoscale_ = std::min(next_autoscale_, now_ + 0.2);
}

void Leader::handle(InstancesTerminated& r) {
    terminating_ = false;
    for (auto& name : r.names) {
        auto index = cluster_.find_machine(name);
        if (r.done) gone_[name] = now_;
        if (index == kNone) continue;
        if (!r.done) {
            cluster_.machines[index]->terminating = false;
            cluster_.machines[index]->abandoned = true;
            continue;
        }
        machine_gone(index, "returned");
        cluster_.remove_machine(index);
    }
}

asio::awaitable<std::optional<HttpAnswer>> Leader::cloud_call(const char* method,
                                                              std::string target, std::string body,
                                                              double timeout_s) {
    while (!stopped_) {
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
            steady_now() + std::uniform_real_distribution<double>(0.8, 1.6)(random_);
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

asio::awaitable<void> Leader::provision(std::shared_ptr<Leader> self,
                                        std::vector<ScaleOutRequest> rentals) {
    for (auto& r : rentals) {
        // Unique for ever: no other leader has this token, and no other rental of this leader this
        // number.
        auto request = fmt::format("w{}-{}", term_->fencing_token, ++provision_count_);
        auto body = rental_json(request, cluster_.names.types.name(r.type),
                                cluster_.names.zones.name(r.zone), r.spot, r.count);
        while (!stopped_) {
            auto answer = co_await cloud_call("POST", paths::kMachines, body, 4);
            if (stopped_) co_return;
            if (answer && answer->status == 200) {
                try {
                    post(InstancesProvisioned{r, parse_rented(answer->body)});
                    break;
                } catch (const BadMessage& e) {
                    spdlog::error("cloud: malformed answer to a rental: {}", e.what());
                }
            } else if (answer && answer->status == 503 && says_no_capacity(answer->body)) {
                post(InstancesProvisioned{r, {}});
                break;
            } else if (answer && answer->status == 400) {
                spdlog::error("cloud: rental refused as malformed: {}", body);
                post(InstancesProvisioned{r, {}});
                break;
            }
            // No answer or trouble: the same request again, as its name rents once.
        }
    }
    self->post(ProvisionPassDone{});
}

asio::awaitable<void> Leader::terminate(std::shared_ptr<Leader> self,
                                        std::vector<std::string> names) {
    auto answer = co_await cloud_call("POST", paths::kReturn, return_json(names), 4);
    // Without an answer they may be gone or not: they stay out of use and are returned again.
    self->post(InstancesTerminated{std::move(names), answer && answer->status == 200});
}

}  // namespace weirmill
