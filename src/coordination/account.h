// Where the fleet's room is: what every CPU and GPU that is paid for does at one moment. Pure
// functions of the tables and a given time; they decide nothing.
#pragma once
#include <array>
#include <map>
#include <string>

#include "bookkeeping/tables.h"
#include "coordination/placement.h"

namespace weirmill {

// Of a machine's room that tasks take, by what they do; of the rest, by why nobody has it.
enum class RoomIs : uint8_t {
    Booting,    // not up yet
    Running,    // a task runs there
    Starting,   // placed, and its worker has not said that it has it
    Fetching,   // waits for its image
    Gathering,  // a gang's task that waits for the others
    Stopping,   // told to stop, or saving
    Silent,     // not heard of lately, or its lease ran out
    Leaving,    // noticed, closing, returned or given up
    Shunned,    // in quarantine
    Reserved,   // emptied, or being emptied, for a job
    Empty,      // a whole machine
    Fragment,   // beside tasks
};
inline constexpr size_t kRoomKinds = static_cast<size_t>(RoomIs::Fragment) + 1;

// By kind: the sum over all machines whose type is known. What runs adds up with the rest to all
// there is.
struct RoomAccount {
    std::array<Resources, kRoomKinds> room{};
    Resources& operator[](RoomIs is) { return room[static_cast<size_t>(is)]; }
    const Resources& operator[](RoomIs is) const { return room[static_cast<size_t>(is)]; }
};
RoomAccount account_room(const ClusterState& cluster, const Usable& usable, double now);

// One line: GPUs where there are any, else CPUs, by kind, those that are not zero.
std::string account_text(const RoomAccount& account);
void account_gauges(const RoomAccount& account, std::map<std::string, double>& out);

}  // namespace weirmill
