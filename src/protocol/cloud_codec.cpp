#include "protocol/cloud_codec.h"

#include "protocol/paths.h"
#include "protocol/wire_names.h"

namespace weirmill {

namespace json = boost::json;

namespace {

constexpr size_t kMaxNameBytes = 200;
constexpr const char* kNoCapacityError = "no capacity";

constexpr wire::EnumName<MachineStatus> kStatuses[] = {{"booting", MachineStatus::Booting},
                                                       {"running", MachineStatus::Running},
                                                       {"failed", MachineStatus::Failed}};

double from_milli(int64_t milli) { return static_cast<double>(milli) / 1000; }

std::vector<std::string> text_list(const json::object& o, const char* name) {
    std::vector<std::string> out;
    for (auto& v : read::array(o, name)) {
        if (!v.is_string() || v.get_string().empty() || v.get_string().size() > kMaxNameBytes)
            read::throw_invalid(name);
        out.emplace_back(v.get_string());
    }
    return out;
}

}  // namespace

std::vector<MachineType> parse_machine_types(std::string_view body) {
    auto v = read::parse(body);
    std::vector<MachineType> out;
    for (auto& item : read::array(read::object(v), wire::kMachineTypes)) {
        auto& o = read::object(item);
        MachineType t;
        t.name = read::text(o, wire::kTypeName);
        t.size.cpu = to_milli_floor(read::number(o, wire::kCpus));
        t.size.gpu = to_milli_floor(read::number(o, wire::kGpus, 0.0));
        t.size.mem = to_milli_floor(read::number(o, wire::kMemory_gb));
        t.cache_gb = read::number(o, wire::kImageCache_gb, 0.0);
        t.fetch_gb_per_s = read::number(o, wire::kFetchRate);
        t.price = read::number(o, wire::kPrice);
        t.spot_price = read::number(o, wire::kSpotPrice, t.price);
        t.boot_s = read::number(o, wire::kBoot_s);
        t.zones = text_list(o, wire::kZones);
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
        list.push_back(json::object{{wire::kTypeName, t.name},
                                    {wire::kCpus, from_milli(t.size.cpu)},
                                    {wire::kGpus, from_milli(t.size.gpu)},
                                    {wire::kMemory_gb, from_milli(t.size.mem)},
                                    {wire::kImageCache_gb, t.cache_gb},
                                    {wire::kFetchRate, t.fetch_gb_per_s},
                                    {wire::kPrice, t.price},
                                    {wire::kSpotPrice, t.spot_price},
                                    {wire::kBoot_s, t.boot_s},
                                    {wire::kZones, std::move(zones)}});
    }
    return json::serialize(json::object{{wire::kMachineTypes, std::move(list)}});
}

MachinePage parse_machine_page(std::string_view body) {
    auto v = read::parse(body);
    auto& root = read::object(v);
    MachinePage page;
    for (auto& item : read::array(root, wire::kMachines)) {
        auto& o = read::object(item);
        ListedMachine m;
        m.name = read::text(o, wire::kMachineName);
        m.addr = read::field(o, wire::kAddress) ? read::text(o, wire::kAddress) : "";
        m.type = read::text(o, wire::kMachineType);
        m.zone = read::text(o, wire::kZone);
        m.spot = read::flag(o, wire::kSpot);
        m.status = wire::read_value(kStatuses, o, wire::kStatus);
        m.age_s = read::number(o, wire::kAge_s, 0.0);
        page.machines.push_back(std::move(m));
    }
    page.has_more = read::flag(root, wire::kMorePages, false);
    return page;
}

bool is_no_capacity_error(std::string_view body) {
    try {
        auto v = read::parse(body);
        return read::text(read::object(v), wire::kError) == kNoCapacityError;
    } catch (const BadMessage&) {
        return false;
    }
}

std::vector<std::string> parse_provisioned_machines(std::string_view body) {
    auto v = read::parse(body);
    return text_list(read::object(v), wire::kMachines);
}

std::string provision_request_json(const std::string& request_id, const std::string& type,
                                   const std::string& zone, bool spot, int count) {
    return json::serialize(json::object{{wire::kProvisionRequest, request_id},
                                        {wire::kMachineType, type},
                                        {wire::kZone, zone},
                                        {wire::kSpot, spot},
                                        {wire::kCount, count}});
}

std::string termination_request_json(const std::vector<std::string>& machines) {
    json::array list;
    for (auto& m : machines) list.emplace_back(m);
    return json::serialize(json::object{{wire::kMachines, std::move(list)}});
}

std::string machine_list_target(const std::string& after, int limit) {
    std::string target = paths::kMachines;
    target += "?most=" + std::to_string(limit);
    if (!after.empty()) target += "&from=" + after;
    return target;
}

}  // namespace weirmill
