// Codec of the cloud API: machine types, provisioning, termination and the machine list. All
// parsers throw BadMessage.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "protocol/json_read.h"
#include "protocol/types.h"

namespace weirmill {

std::vector<MachineType> parse_machine_types(std::string_view body);
// Writes the format that parse_machine_types reads.
std::string machine_types_json(const std::vector<MachineType>& types);
MachinePage parse_machine_page(std::string_view body);
// Returns true if the body of a 503 response to a provisioning request states that the cloud has no
// capacity. Does not throw.
bool is_no_capacity_error(std::string_view body);
// Returns the names of the machines that the cloud provisioned.
std::vector<std::string> parse_provisioned_machines(std::string_view body);
std::string provision_request_json(const std::string& request_id, const std::string& type,
                                   const std::string& zone, bool spot, int count);
std::string termination_request_json(const std::vector<std::string>& machines);
std::string machine_list_target(const std::string& after, int limit);

}  // namespace weirmill
