#include "membership/link_records.h"

#include <algorithm>

namespace weirmill {

namespace json = boost::json;

namespace {
constexpr uint64_t kMaxWorkerCount = 1U << 30;  // upper bound of the counts in a record
}

CasTransaction link_record_transaction(const std::string& controller, const LinkStatus& links,
                                       uint64_t lease) {
    json::object o{
        {"state", links.reaches_kv},        {"direct", links.direct_workers},
        {"reach", links.reachable_workers}, {"known", links.known_workers},
        {"token", links.leader_token},      {"hears", json::value_from(links.reachable_peers)}};
    return {{}, {{kLinkRecordPrefix + controller, json::serialize(o), lease}}};
}

LinkStatus parse_link_record(const json::value& v) {
    auto& o = read::object(v);
    auto count = [&](const char* name) {
        return static_cast<uint32_t>(std::min(read::count(o, name, 0), kMaxWorkerCount));
    };
    LinkStatus links;
    links.reports_links = true;
    links.reaches_kv = read::flag(o, "state", false);
    links.direct_workers = count("direct");
    links.reachable_workers = count("reach");
    links.known_workers = count("known");
    links.leader_token = read::count(o, "token", 0);
    auto* peers = read::field(o, "hears");
    if (!peers) return links;
    if (!peers->is_array()) read::throw_invalid("hears");
    for (auto& name : peers->get_array()) {
        if (!name.is_string()) read::throw_invalid("hears");
        links.reachable_peers.emplace_back(name.get_string());
    }
    return links;
}

}  // namespace weirmill
