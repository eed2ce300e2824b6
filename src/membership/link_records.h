// Records of links in the state service: under `m/c/<controller>` what a controller reports of its
// links, attached to a lease of its own, while a peer is out of its reach. They are hints: no
// reader draws more from them than whom to let lead.
#pragma once
#include <string>

#include "protocol/kv_codec.h"
#include "protocol/links.h"

namespace weirmill {

inline const std::string kLinkKeys = "m/c/";

[[nodiscard]] CasTransaction link_record(const std::string& controller, const LinkStatus& links,
                                         uint64_t lease);
[[nodiscard]] LinkStatus parse_link_record(const boost::json::value& v);  // throws BadMessage

}  // namespace weirmill
