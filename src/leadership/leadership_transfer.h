// Planned transfer of the leadership from one controller to another: the record of a transfer in
// the key-value store, the rate limit of transfers, and the delay by which other candidates let the
// successor campaign first. Pure functions of the last record and a given wall-clock time.
// docs/design-membership.md explains why transfers are safe.
#pragma once
#include <cstdint>
#include <string>

#include "protocol/kv_codec.h"

namespace weirmill {

inline const std::string kTransferKey = "m/yield";

// The last transfer, as stored under kTransferKey.
struct TransferRecord {
    std::string from, to;  // names of controllers
    uint32_t count = 0;    // number of transfers in short succession, this one included; 0: none
    double time_wall = 0;  // time of day in seconds
    bool operator==(const TransferRecord&) const = default;
};

// What a leader risks by keeping the leadership: the leases of the workers that it can't renew.
struct LeasesAtStake {
    uint32_t known_workers = 0;      // workers whose lease is valid, as far as the leader knows
    uint32_t unreached_workers = 0;  // those of them that no path has reached lately
    double first_expiry_s = 0;       // time until the first lease of an unreached worker expires
};

// Limits of how soon a transfer may follow another, in seconds.
struct TransferLimits {
    double min_pause_s;        // after a single transfer; doubles with each one in short succession
    double urgent_pause_s;     // after any transfer, while leases are at stake
    double failover_s;         // from a transfer until the successor has answered every worker
    double max_clock_error_s;  // of the wall clock of each controller
};

// Returns for how many seconds a transfer must still wait at `wall_time`, 0 if it may be sent. The
// pause since the last transfer bounds how often unstable links move the leadership. If the leader
// can't renew most of its workers and the rest of the pause would not leave a successor the time to
// renew the first of their leases, only `urgent_pause_s` applies. A record from the future, beyond
// the error of the clocks, is ignored.
[[nodiscard]] double transfer_delay(const TransferRecord& last, const TransferLimits& limits,
                                    const LeasesAtStake& leases, double wall_time);
// Returns whether another transfer may follow at `wall_time` if no leases are at stake.
[[nodiscard]] bool may_transfer(const TransferRecord& last, double min_pause_s,
                                double max_clock_error_s, double wall_time);
// Returns the record of a transfer at `wall_time` that follows `last`.
[[nodiscard]] TransferRecord next_transfer(const TransferRecord& last, double min_pause_s,
                                           std::string from, std::string to, double wall_time);

// Returns the later of the stored transfer and the last one that this controller asked for. The
// latter is not stored if its transaction failed.
[[nodiscard]] TransferRecord later_transfer(const TransferRecord& stored,
                                            const TransferRecord& requested);

// Returns how long controller `self` lets other candidates go first after the transfer `last`, in
// seconds. The value is negative if `self` is the successor and campaigns at once, and 0 if there
// was no recent transfer.
[[nodiscard]] double transfer_campaign_wait(const std::string& self, const TransferRecord& last,
                                            double max_clock_error_s, double wall_time);

// Returns the transaction that deletes the leader key of the term with this fencing token and
// stores `record`. The term ends before the transaction is sent and is never resumed, whatever the
// response, as the transaction may be executed at any later time. Its condition on the fencing
// token ensures that it then has no effect on a later term.
[[nodiscard]] CasTransaction transfer_transaction(const std::string& leader_key,
                                                  uint64_t fencing_token,
                                                  const TransferRecord& record);
// Throws BadMessage if the value is malformed.
[[nodiscard]] TransferRecord parse_transfer_record(const boost::json::value& value);

}  // namespace weirmill
