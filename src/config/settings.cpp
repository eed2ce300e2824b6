#include "config/settings.h"

#include <toml++/toml.h>

#include <charconv>
#include <cmath>
#include <set>

namespace weirmill {

Endpoint Endpoint::parse(const std::string& text, const std::string& field) {
    const auto colon = text.rfind(':');
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

using Node = toml::node_view<toml::node>;

// Lower bound of rates and durations that must be positive.
constexpr double kMinPositive = 1e-3;
// Number of operations of the largest transaction that the service can't split.
constexpr double kMinTransactionOps = 4;
constexpr double kMinMemoryMegabytes = 16;
constexpr double kMinSockets = 32;

std::string required_string(Node node, const std::string& field) {
    auto v = node.value<std::string>();
    if (!v || v->empty()) throw SettingsError("settings: " + field + " is missing or not a string");
    return *v;
}

double required_number(Node node, const std::string& field, double min) {
    const auto v = node.value<double>();
    if (!v || !std::isfinite(*v))
        throw SettingsError("settings: " + field + " is missing or not a number");
    if (*v < min)
        throw SettingsError("settings: " + field + " must be at least " + std::to_string(min));
    return *v;
}

Endpoint required_endpoint(Node node, const std::string& field) {
    return Endpoint::parse(required_string(node, field), field);
}

// A table and its name in the file, for error messages.
struct Section {
    Node node;
    std::string name;

    [[nodiscard]] std::string field(const char* key) const { return name + "." + key; }
    [[nodiscard]] std::string text(const char* key) const {
        return required_string(node[key], field(key));
    }
    [[nodiscard]] double number(const char* key, double min) const {
        return required_number(node[key], field(key), min);
    }
    [[nodiscard]] Endpoint endpoint(const char* key) const {
        return required_endpoint(node[key], field(key));
    }
    [[nodiscard]] double number_or_zero(const char* key, double min) const {
        return node[key] ? number(key, min) : 0.0;
    }
};

// Calls `read` with each table of a list, in order. A missing list counts as empty.
template <class F>
void for_each_table(Node node, const std::string& name, const F& read) {
    if (!node) return;
    auto* list = node.as_array();
    if (!list) throw SettingsError("settings: " + name + " must be a list of tables");
    for (size_t i = 0; i < list->size(); ++i) {
        auto item_name = name + "[" + std::to_string(i) + "]";
        if (!(*list)[i].is_table())
            throw SettingsError("settings: " + item_name + " must be a table");
        read(Section{Node((*list)[i]), std::move(item_name)});
    }
}

std::vector<PeerSettings> read_peers(Node node, const std::string& own_name) {
    std::vector<PeerSettings> peers;
    std::set<std::string> names{own_name};
    for_each_table(node, "seeds", [&](const Section& seed) {
        PeerSettings p;
        p.name = seed.text("host_name");
        p.zone = seed.text("site");
        p.addr = seed.endpoint("addr");
        if (!names.insert(p.name).second)
            throw SettingsError("settings: " + seed.field("host_name") + " repeats \"" + p.name +
                                "\"");
        peers.push_back(std::move(p));
    });
    return peers;
}

std::vector<std::string> read_zones(Node node) {
    auto* list = node.as_array();
    if (!list || list->empty())
        throw SettingsError("settings: deployment.zones is missing or empty");
    std::vector<std::string> zones;
    for (auto& z : *list) {
        auto v = z.value<std::string>();
        if (!v) throw SettingsError("settings: deployment.zones must be a list of strings");
        zones.push_back(*v);
    }
    return zones;
}

std::vector<TeamSettings> read_teams(Node node) {
    std::vector<TeamSettings> teams;
    std::set<std::string> names;
    for_each_table(node, "deployment.teams", [&](const Section& team) {
        TeamSettings t;
        t.name = team.text("name");
        t.cpus = team.number_or_zero("cpus", 0);
        t.cpus_max = team.number_or_zero("cpus_max", 0);
        t.gpus = team.number_or_zero("gpus", 0);
        t.gpus_max = team.number_or_zero("gpus_max", 0);
        if (!names.insert(t.name).second)
            throw SettingsError("settings: " + team.field("name") + " is repeated");
        teams.push_back(std::move(t));
    });
    if (teams.empty()) throw SettingsError("settings: deployment.teams is missing or empty");
    return teams;
}

// An optional field that is missing or has the wrong type counts as not set.
std::vector<Objective> read_objectives(Node node) {
    std::vector<Objective> objectives;
    for_each_table(node, "deployment.objectives", [&](const Section& objective) {
        Objective o;
        o.kind = objective.text("kind");
        o.job_class = objective.node["class"].value<std::string>().value_or("");
        o.within_s = objective.node["within_s"].value<double>().value_or(0);
        o.share = objective.node["share"].value<double>().value_or(0);
        o.times = objective.node["times"].value<double>().value_or(0);
        objectives.push_back(std::move(o));
    });
    return objectives;
}

void read_workers(const Section& workers, Settings& settings) {
    settings.heartbeat_interval_s = workers.number("report_s", kMinPositive);
    settings.lease_s = workers.number("lease_s", kMinPositive);
    settings.gang_wait_s = workers.number("gang_wait_s", kMinPositive);
    settings.gang_peer_s = workers.number("gang_peer_s", kMinPositive);
    settings.cancel_s = workers.number("cancel_s", kMinPositive);
}

// Lowers a limit to its announced value if that is lower.
template <class T>
void apply_announced_limit(const Section& next, const char* key, double min, T& value) {
    if (!next.node[key]) return;
    value = std::min(value, static_cast<T>(next.number(key, min)));
}

void read_state_service(const Section& state, Settings& settings) {
    settings.state_rps = state.number("rps", 1);
    settings.state_write_rps = state.number("write_rps", 1);
    settings.value_kb = state.number("value_kb", 1);
    settings.txn_ops = static_cast<int>(state.number("txn_ops", kMinTransactionOps));
    const Section next{state.node["next"], state.field("next")};
    if (!next.node) return;
    if (!next.node.is_table()) throw SettingsError("settings: " + next.name + " must be a table");
    apply_announced_limit(next, "rps", 1, settings.state_rps);
    apply_announced_limit(next, "write_rps", 1, settings.state_write_rps);
    apply_announced_limit(next, "value_kb", 1, settings.value_kb);
    apply_announced_limit(next, "txn_ops", kMinTransactionOps, settings.txn_ops);
}

void read_cloud(const Section& cloud, Settings& settings) {
    settings.cloud_rps = cloud.number("rps", kMinPositive);
    settings.list_lag_s = cloud.number("list_lag_s", 0);
}

void read_resources(const Section& resources, Settings& settings) {
    settings.cpu_share = resources.number("cpu", kMinPositive);
    settings.mem_mb = resources.number("mem_mb", kMinMemoryMegabytes);
    settings.max_sockets = static_cast<int>(resources.number("max_sockets", kMinSockets));
}

void read_deployment(Node deployment, Settings& settings) {
    settings.zones = read_zones(deployment["zones"]);
    settings.clock_off_ms =
        required_number(deployment["clock_off_ms"], "deployment.clock_off_ms", 0);
    settings.teams = read_teams(deployment["teams"]);
    settings.objectives = read_objectives(deployment["objectives"]);
    read_workers({deployment["workers"], "deployment.workers"}, settings);
    read_state_service({deployment["state"], "deployment.state"}, settings);
    read_cloud({deployment["cloud"], "deployment.cloud"}, settings);
    read_resources({deployment["resources"], "deployment.resources"}, settings);
}

toml::table parse_file(const std::string& path) {
    try {
        return toml::parse_file(path);
    } catch (const toml::parse_error& e) {
        throw SettingsError("settings: " + path + ": " + std::string(e.description()));
    }
}

}  // namespace

Settings load_settings(const std::string& path) {
    auto root = parse_file(path);
    const Node top(root);
    Settings settings;
    settings.name = required_string(top["host_name"], "host_name");
    settings.zone = required_string(top["site"], "site");
    settings.api = required_endpoint(top["api_addr"], "api_addr");
    settings.peer = required_endpoint(top["peer_bind"], "peer_bind");
    settings.peers = read_peers(top["seeds"], settings.name);
    settings.cloud = required_endpoint(top["external"]["cloud"], "external.cloud");
    settings.state = required_endpoint(top["external"]["state"], "external.state");
    read_deployment(top["deployment"], settings);
    return settings;
}

}  // namespace weirmill
