// Reports from workers, commands to them.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "protocol/json_read.h"
#include "protocol/types.h"

namespace weirmill {

Report parse_report(std::string_view body);  // throws BadMessage
std::string report_answer(uint64_t fencing_token, const std::vector<Command>& commands);
std::string direct_commands(uint64_t fencing_token, uint64_t session,
                            const std::vector<Command>& commands);
std::string redirect_answer(const std::string& leader);  // empty: nobody to name

// The machine and its token only: what a follower needs to redirect or relay.
struct ReportHead {
    std::string machine;
    uint64_t fencing_token = 0;
};
ReportHead parse_report_head(std::string_view body);

}  // namespace weirmill
