#include "config/settings.h"

#include <Poco/Exception.h>
#include <Poco/Util/PropertyFileConfiguration.h>
#include <toml++/toml.h>

#include <charconv>
#include <cmath>
#include <set>

namespace weirmill {

Endpoint Endpoint::parse(const std::string& text, const std::string& field) {
    auto colon = text.rfind(':');
    Endpoint e;
    if (colon != std::string::npos && colon > 0) {
        e.host = text.substr(0, colon);
        const char* end = text.data() + text.size();
        auto [p, ec] = std::from_chars(text.data() + colon + 1, end, e.port);
        if (ec == std::errc() && p == end && e.port != 0) return e;
    }
    throw SettingsError("settings: " + field + " must be ADDRESS:PORT, not \"" + text + "\"");
}

namespace {

std::string need_string(toml::node_view<toml::node> node, const std::string& field) {
    auto v = node.value<std::string>();
    if (!v || v->empty()) throw SettingsError("settings: " + field + " is missing or not a text");
    return *v;
}

double need_number(toml::node_view<toml::node> node, const std::string& field, double low) {
    auto v = node.value<double>();
    if (!v || !std::isfinite(*v))
        throw SettingsError("settings: " + field + " is missing or not a number");
    if (*v < low)
        throw SettingsError("settings: " + field + " must be at least " + std::to_string(low));
    return *v;
}

template <class F>
void each_table(toml::node_view<toml::node> node, const std::string& field, F&& f) {
    if (!node) return;
    auto* list = node.as_array();
    if (!list) throw SettingsError("settings: " + field + " must be a list of tables");
    for (size_t i = 0; i < list->size(); ++i) {
        auto at = field + "[" + std::to_string(i) + "]";
        if (!(*list)[i].is_table()) throw SettingsError("settings: " + at + " must be a table");
        f(toml::node_view<toml::node>((*list)[i]), at);
    }
}

}  // namespace

Settings load_settings(const std::string& path) {
    toml::table root;
    try {
        root = toml::parse_file(path);
    } catch (const toml::parse_error& e) {
        throw SettingsError("settings: " + path + ": " + std::string(e.description()));
    }
    toml::node_view<toml::node> top(root);
    Settings s;
    s.name = need_string(top["host_name"], "host_name");
    s.zone = need_string(top["site"], "site");
    s.api = Endpoint::parse(need_string(top["api_addr"], "api_addr"), "api_addr");
    s.peer = Endpoint::parse(need_string(top["peer_bind"], "peer_bind"), "peer_bind");
    std::set<std::string> names{s.name};
    each_table(top["seeds"], "seeds", [&](auto node, const std::string& at) {
        PeerSettings p;
        p.name = need_string(node["host_name"], at + ".host_name");
        p.zone = need_string(node["site"], at + ".site");
        p.addr = Endpoint::parse(need_string(node["addr"], at + ".addr"), at + ".addr");
        if (!names.insert(p.name).second)
            throw SettingsError("settings: " + at + ".host_name repeats \"" + p.name + "\"");
        s.peers.push_back(std::move(p));
    });
    auto ext = top["external"];
    s.cloud = Endpoint::parse(need_string(ext["cloud"], "external.cloud"), "external.cloud");
    s.state = Endpoint::parse(need_string(ext["state"], "external.state"), "external.state");
    auto d = top["deployment"];
    auto* zones = d["zones"].as_array();
    if (!zones || zones->empty())
        throw SettingsError("settings: deployment.zones is missing or empty");
    for (auto& z : *zones) {
        auto v = z.value<std::string>();
        if (!v) throw SettingsError("settings: deployment.zones must be a list of texts");
        s.zones.push_back(*v);
    }
    s.clock_off_ms = need_number(d["clock_off_ms"], "deployment.clock_off_ms", 0);
    std::set<std::string> teams;
    each_table(d["teams"], "deployment.teams", [&](auto node, const std::string& at) {
        TeamSettings t;
        t.name = need_string(node["name"], at + ".name");
        // A figure that is missing is none, as 0 is.
        auto figure = [&](const char* name) {
            return node[name] ? need_number(node[name], at + "." + name, 0) : 0.0;
        };
        t.cpus = figure("cpus");
        t.cpus_max = figure("cpus_max");
        t.gpus = figure("gpus");
        t.gpus_max = figure("gpus_max");
        if (!teams.insert(t.name).second)
            throw SettingsError("settings: " + at + ".name is repeated");
        s.teams.push_back(std::move(t));
    });
    if (s.teams.empty()) throw SettingsError("settings: deployment.teams is missing or empty");
    each_table(d["objectives"], "deployment.objectives", [&](auto node, const std::string& at) {
        Objective o;
        o.kind = need_string(node["kind"], at + ".kind");
        o.job_class = node["class"].template value<std::string>().value_or("");
        o.within_s = node["within_s"].template value<double>().value_or(0);
        o.share = node["share"].template value<double>().value_or(0);
        o.times = node["times"].template value<double>().value_or(0);
        s.objectives.push_back(std::move(o));
    });
    const double tiny = 1e-3;
    auto w = d["workers"];
    s.heartbeat_interval_s = need_number(w["report_s"], "deployment.workers.report_s", tiny);
    s.lease_s = need_number(w["lease_s"], "deployment.workers.lease_s", tiny);
    s.gang_wait_s = need_number(w["gang_wait_s"], "deployment.workers.gang_wait_s", tiny);
    s.gang_peer_s = need_number(w["gang_peer_s"], "deployment.workers.gang_peer_s", tiny);
    s.cancel_s = need_number(w["cancel_s"], "deployment.workers.cancel_s", tiny);
    auto st = d["state"];
    s.state_rps = need_number(st["rps"], "deployment.state.rps", 1);
    s.state_write_rps = need_number(st["write_rps"], "deployment.state.write_rps", 1);
    s.value_kb = need_number(st["value_kb"], "deployment.state.value_kb", 1);
    s.txn_ops = static_cast<int>(need_number(st["txn_ops"], "deployment.state.txn_ops", 4));
    if (auto next = st["next"]) {
        if (!next.is_table())
            throw SettingsError("settings: deployment.state.next must be a table");
        auto tighter = [&](const char* name, double low, auto& held) {
            if (auto field = next[name])
                held =
                    std::min(held, static_cast<std::decay_t<decltype(held)>>(need_number(
                                       field, std::string("deployment.state.next.") + name, low)));
        };
        tighter("rps", 1, s.state_rps);
        tighter("write_rps", 1, s.state_write_rps);
        tighter("value_kb", 1, s.value_kb);
        tighter("txn_ops", 4, s.txn_ops);
    }
    auto c = d["cloud"];
    s.cloud_rps = need_number(c["rps"], "deployment.cloud.rps", tiny);
    s.list_lag_s = need_number(c["list_lag_s"], "deployment.cloud.list_lag_s", 0);
    auto r = d["resources"];
    s.cpu_share = need_number(r["cpu"], "deployment.resources.cpu", tiny);
    s.mem_mb = need_number(r["mem_mb"], "deployment.resources.mem_mb", 16);
    s.max_sockets =
        static_cast<int>(need_number(r["max_sockets"], "deployment.resources.max_sockets", 32));
    return s;
}

Properties load_properties(const std::string& path) {
    Properties p;
    struct Row {
        const char* name;
        double* value;
        double low, high;
    };
    const Row rows[] = {
        {"election.lease_s", &p.election_lease_s, 1.0, 60.0},
        {"preemption.round_s", &p.preemption_round_s, 0.5, 600.0},
        {"fleet.idle_keep_boots", &p.idle_keep_boots, 0.0, 100.0},
        {"scheduling.pause_s", &p.scheduling_pause_s, 0.01, 10.0},
        {"machines.quarantine_s", &p.quarantine_s, 0.0, 86400.0},
        {"overload.begin_within_s", &p.start_deadline_s, 0.0, 86400.0},
    };
    Poco::AutoPtr<Poco::Util::PropertyFileConfiguration> file;
    try {
        file = new Poco::Util::PropertyFileConfiguration(path);
    } catch (const Poco::Exception& e) {
        throw SettingsError("properties: " + path + ": " + e.displayText());
    }
    for (const auto& row : rows) {
        if (!file->hasProperty(row.name)) continue;
        try {
            *row.value = file->getDouble(row.name);
        } catch (const Poco::Exception&) {
            throw SettingsError(std::string("properties: ") + row.name + " must be a number");
        }
        if (!(*row.value >= row.low && *row.value <= row.high))
            throw SettingsError(std::string("properties: ") + row.name + " must lie between " +
                                std::to_string(row.low) + " and " + std::to_string(row.high));
    }
    const std::pair<const char*, bool*> flags[] = {{"doors.enabled", &p.standby_enabled},
                                                   {"membership.enabled", &p.membership_enabled},
                                                   {"overload.enabled", &p.overload_enabled}};
    for (const auto& [name, value] : flags) {
        try {
            *value = file->getBool(name, *value);
        } catch (const Poco::Exception&) {
            throw SettingsError(std::string("properties: ") + name + " must be true or false");
        }
    }
    return p;
}

}  // namespace weirmill
