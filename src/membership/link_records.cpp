#include "membership/link_records.h"

namespace weirmill {

namespace json = boost::json;

CasTransaction link_record(const std::string& controller, const LinkStatus& links, uint64_t lease) {
    json::object o{{"state", links.state},
                   {"direct", links.direct},
                   {"reach", links.reach},
                   {"known", links.known},
                   {"hears", json::value_from(links.hears)}};
    return {{}, {{kLinkKeys + controller, json::serialize(o), lease}}};
}

LinkStatus parse_link_record(const json::value& v) {
    auto& o = read::object(v);
    auto count = [&](const char* name) {
        return static_cast<uint32_t>(std::min<uint64_t>(read::count(o, name, 0), 1u << 30));
    };
    LinkStatus r;
    r.adoption_recorded = true;
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

CasTransaction transfer_transaction(const std::string& leader_key, uint64_t fencing_token,
                                    const TransferRecord& h) {
    json::object o{{"from", h.from}, {"to", h.to}, {"count", h.count}, {"at", h.at}};
    return {{{leader_key, fencing_token}},
            {{leader_key, "", 0}, {kTransferKey, json::serialize(o), 0}}};
}

TransferRecord parse_transfer_record(const json::value& v) {
    auto& o = read::object(v);
    TransferRecord h;
    h.from = read::text(o, "from");
    h.to = read::text(o, "to");
    h.count = static_cast<uint32_t>(std::min<uint64_t>(read::count(o, "count", 0), 1000));
    h.at = read::number(o, "at", {}, 1e12);
    return h;
}

}  // namespace weirmill
