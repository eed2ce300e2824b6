// Planned transfer of the leadership from one controller to another: its record in the state
// service, the limit on its rate, and how the others let the successor campaign first. Pure
// functions of the last record and a given time of day; docs/design-membership.md has the argument.
#pragma once
#include <cstdint>
#include <string>

#include "protocol/kv_codec.h"

namespace weirmill {

inline const std::string kTransferKey = "m/yield";

// The last transfer and how many preceded it in short succession, as stored under kTransferKey.
struct TransferRecord {
    std::string from, to;  // controllers
    uint32_t count = 0;    // in short succession, this one included; 0: there was none
    double at = 0;         // time of day, seconds
    bool operator==(const TransferRecord&) const = default;
};

// Whether another transfer may follow now. `min_pause_s` is the pause after a single transfer; it
// doubles with each that follows in short succession. `wall`: now, by the time of day, which is off
// by at most `clock_off_s` on each controller.
[[nodiscard]] bool may_transfer(const TransferRecord& last, double min_pause_s, double clock_off_s,
                                double wall);
// The record of a transfer at `wall` that follows `last`.
[[nodiscard]] TransferRecord next_transfer(const TransferRecord& last, double min_pause_s,
                                           std::string from, std::string to, double wall);

// How long controller `self` lets others go first in a campaign after the transfer `last`, seconds.
// Negative: it is the successor and waits for nobody. 0: no transfer lately.
[[nodiscard]] double transfer_campaign_wait(const std::string& self, const TransferRecord& last,
                                            double clock_off_s, double wall);

// Ends the leadership with this fencing token and records the successor. The term has ended before
// this is sent and is never resumed, whatever the answer: a copy of the transaction may be executed
// at any later time. It is conditional on the token, so that such a copy then does nothing.
[[nodiscard]] CasTransaction transfer_transaction(const std::string& leader_key,
                                                  uint64_t fencing_token,
                                                  const TransferRecord& record);
[[nodiscard]] TransferRecord parse_transfer_record(
    const boost::json::value& value);  // throws BadMessage

}  // namespace weirmill
