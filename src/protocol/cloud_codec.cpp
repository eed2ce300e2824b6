#include "protocol/cloud_codec.h"

#include "protocol/paths.h"

namespace weirmill {

namespace json = boost::json;

namespace {

std::vector<std::string> text_list(const json::object& o, const char* name) {
    std::vector<std::string> out;
    for (auto& v : read::array(o, name)) {
        if (!v.is_string() || v.get_string().empty() || v.get_string().size() > 200)
            read::bad(name);
        out.emplace_back(v.get_string());
    }
    return out;
}

}  // namespace

std::vector<MachineType> parse_machine_types(std::string_view body) {
    auto v = read::parse(body);
    std::vector<MachineType> out;
    for (auto& item : read::array(read::object(v), "rigs")) {
        auto& o = read::object(item);
        MachineType t;
        t.name = read::text(o, "label");
        t.size.cpu = milli_down(read::number(o, "cores"));
        t.size.gpu = milli_down(read::number(o, "accelerators", 0.0));
        t.size.mem = milli_down(read::number(o, "mem_gb"));
        t.cache_gb = read::number(o, "local_gb", 0.0);
        t.fetch_gb_per_s = read::number(o, "fetch_gb_per_s");
        t.price = read::number(o, "hourly");
        t.spot_price = read::number(o, "spot_price", t.price);
        t.boot_s = read::number(o, "startup_s");
        t.zones = text_list(o, "yards");
        out.push_back(std::move(t));
    }
    if (out.empty()) throw BadMessage("no machine types");
    return out;
}

std::string machine_types_json(const std::vector<MachineType>& types) {
    json::array list;
    for (auto& t : types) {
        json::array zones;
        for (auto& z : t.zones) zones.emplace_back(z);
        list.push_back(json::object{{"label", t.name},
                                    {"cores", static_cast<double>(t.size.cpu) / 1000},
                                    {"accelerators", static_cast<double>(t.size.gpu) / 1000},
                                    {"mem_gb", static_cast<double>(t.size.mem) / 1000},
                                    {"local_gb", t.cache_gb},
                                    {"fetch_gb_per_s", t.fetch_gb_per_s},
                                    {"hourly", t.price},
                                    {"spot_price", t.spot_price},
                                    {"startup_s", t.boot_s},
                                    {"yards", std::move(zones)}});
    }
    return json::serialize(json::object{{"rigs", std::move(list)}});
}

MachinePage parse_machine_page(std::string_view body) {
    auto v = read::parse(body);
    auto& root = read::object(v);
    MachinePage page;
    for (auto& item : read::array(root, "millstones")) {
        auto& o = read::object(item);
        ListedMachine m;
        m.name = read::text(o, "name_id");
        m.addr = read::field(o, "addr") ? read::text(o, "addr") : "";
        m.type = read::text(o, "rig");
        m.zone = read::text(o, "yard");
        m.spot = read::flag(o, "loaners");
        auto status = read::text(o, "status");
        if (status == "booting")
            m.status = MachineStatus::Booting;
        else if (status == "running")
            m.status = MachineStatus::Running;
        else if (status == "failed")
            m.status = MachineStatus::Failed;
        else
            read::bad("status");
        m.age_s = read::number(o, "age_s", 0.0);
        page.machines.push_back(std::move(m));
    }
    page.more = read::flag(root, "has_next", false);
    return page;
}

bool says_no_capacity(std::string_view body) {
    try {
        auto v = read::parse(body);
        return read::text(read::object(v), "error") == "no capacity";
    } catch (const BadMessage&) {
        return false;
    }
}

std::vector<std::string> parse_rented(std::string_view body) {
    auto v = read::parse(body);
    return text_list(read::object(v), "millstones");
}

std::string rental_json(const std::string& request, const std::string& type,
                        const std::string& zone, bool spot, int count) {
    return json::serialize(json::object{
        {"hire", request}, {"rig", type}, {"yard", zone}, {"loaners", spot}, {"count", count}});
}

std::string return_json(const std::vector<std::string>& machines) {
    json::array list;
    for (auto& m : machines) list.emplace_back(m);
    return json::serialize(json::object{{"millstones", std::move(list)}});
}

std::string machine_list_target(const std::string& after, int limit) {
    std::string t = paths::kMachines;
    t += "?most=" + std::to_string(limit);
    if (!after.empty()) t += "&from=" + after;
    return t;
}

}  // namespace weirmill
