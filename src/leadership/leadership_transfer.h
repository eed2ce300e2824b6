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

// Returns whether another transfer may follow at `wall_time`. `min_pause_s` is the pause after a
// single transfer; it doubles with each transfer that follows in short succession. The wall clock
// of each controller is off by at most `max_clock_error_s`.
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
