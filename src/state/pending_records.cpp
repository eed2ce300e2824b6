#include "state/pending_records.h"

#include "state/state_log_codec.h"

namespace weirmill {

namespace json = boost::json;

std::string pending_key(const std::string& id) { return kPendingPrefix + id; }
std::string adopter_key(const std::string& controller) { return kAdopterPrefix + controller; }

std::string pending_record(const PendingRecord& r) {
    json::object o;
    if (r.accepted()) {
        o["job"] = r.job;
        o["at"] = r.submitted_wall;
    }
    if (r.cancelled) o["cancelled"] = true;
    return json::serialize(o);
}

PendingRecord parse_pending_record(const json::value& v) {
    auto& o = read::object(v);
    PendingRecord r;
    r.cancelled = read::flag(o, "cancelled", false);
    if (auto* job = read::field(o, "job")) {
        r.job = *job;
        r.submitted_wall = read::number(o, "at", {}, 1e12);
    } else if (!r.cancelled) {
        read::throw_invalid("job");
    }
    return r;
}

CasTransaction accept_transaction(const std::string& id, const PendingRecord& r) {
    return {{{pending_key(id), 0}, {final_key(id), 0}}, {{pending_key(id), pending_record(r), 0}}};
}

CasTransaction cancel_transaction(const std::string& id, uint64_t version, PendingRecord r) {
    r.cancelled = true;
    return {{{pending_key(id), version}}, {{pending_key(id), pending_record(r), 0}}};
}

CasTransaction adopter_transaction(const std::string& controller) {
    return {{{adopter_key(controller), 0}}, {{adopter_key(controller), R"({"collects":1})", 0}}};
}

}  // namespace weirmill
