#include "leadership/leadership_transfer.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

namespace weirmill {

namespace json = boost::json;

namespace {

constexpr uint32_t kMaxDoublings = 5;          // of the pause between transfers
constexpr uint32_t kMaxCount = 1000;           // of a record that is read
constexpr double kMaxTimeOfDay_s = 1e12;       // of a record that is read
constexpr double kSuccessorCampaign_s = 10;    // after this the successor would lead
constexpr double kSuccessorHeadStart_s = 0.6;  // of the successor over others in a campaign
constexpr double kQuietPauses = 8;             // after so many pauses the succession is over

double pause_after(const TransferRecord& last, double min_pause_s) {
    if (last.count == 0) return 0;
    return min_pause_s * std::pow(2.0, std::min(last.count - 1, kMaxDoublings));
}

}  // namespace

bool may_transfer(const TransferRecord& last, double min_pause_s, double clock_off_s, double wall) {
    return last.count == 0 || wall - last.at > pause_after(last, min_pause_s) + 2 * clock_off_s;
}

TransferRecord next_transfer(const TransferRecord& last, double min_pause_s, std::string from,
                             std::string to, double wall) {
    // Several pauses without a transfer: the links are stable again, and the count starts over.
    bool quiet = wall - last.at > kQuietPauses * pause_after(last, min_pause_s);
    return {std::move(from), std::move(to), quiet ? 1 : last.count + 1, wall};
}

double transfer_campaign_wait(const std::string& self, const TransferRecord& last,
                              double clock_off_s, double wall) {
    bool recent =
        last.count > 0 && std::abs(wall - last.at) < kSuccessorCampaign_s + 2 * clock_off_s;
    if (!recent) return 0;
    if (last.to == self) return -1;
    return last.from == self ? 2 * kSuccessorHeadStart_s : kSuccessorHeadStart_s;
}

CasTransaction transfer_transaction(const std::string& leader_key, uint64_t fencing_token,
                                    const TransferRecord& record) {
    json::object o{
        {"from", record.from}, {"to", record.to}, {"count", record.count}, {"at", record.at}};
    return {{{leader_key, fencing_token}},
            {{leader_key, "", 0}, {kTransferKey, json::serialize(o), 0}}};
}

TransferRecord parse_transfer_record(const json::value& value) {
    auto& o = read::object(value);
    TransferRecord record;
    record.from = read::text(o, "from");
    record.to = read::text(o, "to");
    record.count = static_cast<uint32_t>(std::min<uint64_t>(read::count(o, "count", 0), kMaxCount));
    record.at = read::number(o, "at", {}, kMaxTimeOfDay_s);
    return record;
}

}  // namespace weirmill
