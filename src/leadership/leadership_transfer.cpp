#include "leadership/leadership_transfer.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

namespace weirmill {

namespace json = boost::json;

namespace {

// The pause between transfers doubles at most this often.
constexpr uint32_t kMaxPauseDoublings = 5;
// Bounds of the values that are accepted from a stored record.
constexpr uint32_t kMaxRecordCount = 1000;
constexpr double kMaxTimeOfDay_s = 1e12;
// Time after a transfer within which the successor campaigns.
constexpr double kSuccessorWindow_s = 10;
// Time by which other candidates let the successor campaign first.
constexpr double kSuccessorHeadStart_s = 0.6;
// The count of transfers starts over after this many pauses without one.
constexpr double kPausesUntilReset = 8;

double pause_after(const TransferRecord& last, double min_pause_s) {
    if (last.count == 0) return 0;
    return min_pause_s * std::pow(2.0, std::min(last.count - 1, kMaxPauseDoublings));
}

// Returns how long a pause of `pause_s` after the transfer `last` still lasts, in seconds.
double remaining_pause(const TransferRecord& last, double pause_s, double max_clock_error_s,
                       double wall_time) {
    const double tolerance_s = 2 * max_clock_error_s;
    bool from_future = last.time_wall > wall_time + tolerance_s;
    if (last.count == 0 || from_future) return 0;
    return std::max(0.0, pause_s + tolerance_s - (wall_time - last.time_wall));
}

bool most_are_unreached(const LeasesAtStake& leases) {
    return 2 * leases.unreached_workers >= leases.known_workers;
}

}  // namespace

double transfer_delay(const TransferRecord& last, const TransferLimits& limits,
                      const LeasesAtStake& leases, double wall_time) {
    const double delay_s = remaining_pause(last, pause_after(last, limits.min_pause_s),
                                           limits.max_clock_error_s, wall_time);
    bool renewed_in_time = leases.first_expiry_s - delay_s >= limits.failover_s;
    if (!most_are_unreached(leases) || renewed_in_time) return delay_s;
    return std::min(
        delay_s, remaining_pause(last, limits.urgent_pause_s, limits.max_clock_error_s, wall_time));
}

bool may_transfer(const TransferRecord& last, double min_pause_s, double max_clock_error_s,
                  double wall_time) {
    return remaining_pause(last, pause_after(last, min_pause_s), max_clock_error_s, wall_time) == 0;
}

TransferRecord next_transfer(const TransferRecord& last, double min_pause_s, std::string from,
                             std::string to, double wall_time) {
    // After several pauses without a transfer, the links count as stable again.
    bool stable = wall_time - last.time_wall > kPausesUntilReset * pause_after(last, min_pause_s);
    return {std::move(from), std::move(to), stable ? 1 : last.count + 1, wall_time};
}

TransferRecord later_transfer(const TransferRecord& stored, const TransferRecord& requested) {
    bool requested_later =
        requested.count > 0 && (stored.count == 0 || requested.time_wall > stored.time_wall);
    return requested_later ? requested : stored;
}

double transfer_campaign_wait(const std::string& self, const TransferRecord& last,
                              double max_clock_error_s, double wall_time) {
    bool recent = last.count > 0 &&
                  std::abs(wall_time - last.time_wall) < kSuccessorWindow_s + 2 * max_clock_error_s;
    if (!recent) return 0;
    if (last.to == self) return -1;
    return last.from == self ? 2 * kSuccessorHeadStart_s : kSuccessorHeadStart_s;
}

CasTransaction transfer_transaction(const std::string& leader_key, uint64_t fencing_token,
                                    const TransferRecord& record) {
    json::object o{{"from", record.from},
                   {"to", record.to},
                   {"count", record.count},
                   {"at", record.time_wall}};
    return {{{leader_key, fencing_token}},
            {{leader_key, "", 0}, {kTransferKey, json::serialize(o), 0}}};
}

TransferRecord parse_transfer_record(const json::value& value) {
    auto& o = read::object(value);
    TransferRecord record;
    record.from = read::text(o, "from");
    record.to = read::text(o, "to");
    record.count =
        static_cast<uint32_t>(std::min<uint64_t>(read::count(o, "count", 0), kMaxRecordCount));
    record.time_wall = read::number(o, "at", {}, kMaxTimeOfDay_s);
    return record;
}

}  // namespace weirmill
