#include "doors/records.h"

#include "bookkeeping/ledger.h"

namespace weirmill {

namespace json = boost::json;

std::string door_key(const std::string& id) { return kDoorKeys + id; }
std::string mark_key(const std::string& controller) { return kMarkKeys + controller; }

std::string door_record(const DoorRecord& r) {
    json::object o;
    if (r.accepted()) {
        o["job"] = r.job;
        o["at"] = r.at;
    }
    if (r.cancelled) o["cancelled"] = true;
    return json::serialize(o);
}

DoorRecord parse_door_record(const json::value& v) {
    auto& o = read::object(v);
    DoorRecord r;
    r.cancelled = read::flag(o, "cancelled", false);
    if (auto* job = read::field(o, "job")) {
        r.job = *job;
        r.at = read::number(o, "at", {}, 1e12);
    } else if (!r.cancelled) {
        read::bad("job");
    }
    return r;
}

CasTransaction door_accept(const std::string& id, const DoorRecord& r) {
    return {{{door_key(id), 0}, {final_key(id), 0}}, {{door_key(id), door_record(r), 0}}};
}

CasTransaction door_cancel(const std::string& id, uint64_t version, DoorRecord r) {
    r.cancelled = true;
    return {{{door_key(id), version}}, {{door_key(id), door_record(r), 0}}};
}

CasTransaction door_mark(const std::string& controller) {
    return {{{mark_key(controller), 0}}, {{mark_key(controller), R"({"collects":1})", 0}}};
}

}  // namespace weirmill
