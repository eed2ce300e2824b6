// Records of the links in the state service: `m/c/<controller>` what a controller says of its
// links, under a lease of its own, while a peer is out of its reach; `m/yield` the last hand-over.
// All but the yield are hints: no reader draws more from them than whom to let lead.
#pragma once
#include <string>

#include "membership/link_policy.h"
#include "protocol/kv_codec.h"

namespace weirmill {

inline const std::string kLinkKeys = "m/c/";
inline const std::string kTransferKey = "m/yield";

CasTransaction link_record(const std::string& controller, const LinkStatus& links, uint64_t lease);
LinkStatus parse_link_record(const boost::json::value& v);  // throws BadMessage

// Ends the leadership with this token and says to whom. The tenure has ended before this is sent,
// and is not taken up again whatever the answer: a copy may be executed at any later time. It names
// the token, so that it then does nothing.
CasTransaction transfer_transaction(const std::string& leader_key, uint64_t fencing_token,
                                    const TransferRecord& h);
TransferRecord parse_transfer_record(const boost::json::value& v);  // throws BadMessage

}  // namespace weirmill
