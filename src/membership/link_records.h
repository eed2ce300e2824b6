// Link records in the key-value store. A controller stores the links that it reports under
// `m/c/<controller>`, attached to a lease of its own, while it can't reach one of its peers. The
// records are hints: they only influence which controller should lead.
#pragma once
#include <string>

#include "protocol/kv_codec.h"
#include "protocol/links.h"

namespace weirmill {

inline const std::string kLinkRecordPrefix = "m/c/";

// Returns the transaction that stores the links of a controller.
[[nodiscard]] CasTransaction link_record_transaction(const std::string& controller,
                                                     const LinkStatus& links, uint64_t lease);
// Throws BadMessage if the value is malformed.
[[nodiscard]] LinkStatus parse_link_record(const boost::json::value& v);

}  // namespace weirmill
