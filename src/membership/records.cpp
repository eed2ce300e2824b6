#include "membership/records.h"

namespace weirmill {

namespace json = boost::json;

CasTransaction link_record(const std::string& controller, const LinkReport& links, uint64_t lease) {
    json::object o{{"state", links.state},
                   {"direct", links.direct},
                   {"reach", links.reach},
                   {"known", links.known},
                   {"hears", json::value_from(links.hears)}};
    return {{}, {{kLinkKeys + controller, json::serialize(o), lease}}};
}

LinkReport parse_link_record(const json::value& v) {
    auto& o = read::object(v);
    auto count = [&](const char* name) {
        return static_cast<uint32_t>(std::min<uint64_t>(read::count(o, name, 0), 1u << 30));
    };
    LinkReport r;
    r.told = true;
    r.state = read::flag(o, "state", false);
    r.direct = count("direct");
    r.reach = count("reach");
    r.known = count("known");
    if (auto* hears = read::field(o, "hears")) {
        if (!hears->is_array()) read::bad("hears");
        for (auto& name : hears->get_array()) {
            if (!name.is_string()) read::bad("hears");
            r.hears.emplace_back(name.get_string());
        }
    }
    return r;
}

CasTransaction yield_leadership(const std::string& leader_key, uint64_t token, const HandOvers& h) {
    json::object o{{"from", h.from}, {"to", h.to}, {"count", h.count}, {"at", h.at}};
    return {{{leader_key, token}}, {{leader_key, "", 0}, {kYieldKey, json::serialize(o), 0}}};
}

HandOvers parse_hand_overs(const json::value& v) {
    auto& o = read::object(v);
    HandOvers h;
    h.from = read::text(o, "from");
    h.to = read::text(o, "to");
    h.count = static_cast<uint32_t>(std::min<uint64_t>(read::count(o, "count", 0), 1000));
    h.at = read::number(o, "at", {}, 1e12);
    return h;
}

}  // namespace weirmill
