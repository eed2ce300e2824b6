// The cloud's interface: machine types, rentals, returns, the list.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "protocol/json_read.h"
#include "protocol/types.h"

namespace weirmill {

std::vector<MachineType> parse_machine_types(std::string_view body);  // all throw BadMessage
std::string machine_types_json(
    const std::vector<MachineType>& types);  // as parse_machine_types reads it
MachinePage parse_machine_page(std::string_view body);
bool says_no_capacity(std::string_view body);  // why a rental was refused with 503
std::vector<std::string> parse_rented(std::string_view body);
std::string rental_json(const std::string& request, const std::string& type,
                        const std::string& zone, bool spot, int count);
std::string return_json(const std::vector<std::string>& machines);
std::string machine_list_target(const std::string& after, int limit);

}  // namespace weirmill
