// Field names on the wire of the users', workers' and cloud APIs, under the terms that the code
// uses for them. Only codecs include this file.
#pragma once
#include <boost/json.hpp>
#include <cstddef>
#include <string_view>

#include "protocol/json_read.h"

namespace weirmill::wire {

// Fields that several APIs share.
inline constexpr const char* kZone = "yard";
inline constexpr const char* kSpot = "loaners";
inline constexpr const char* kStatus = "status";
inline constexpr const char* kMachineTypes = "rigs";
inline constexpr const char* kMachineType = "rig";
inline constexpr const char* kAddress = "addr";
inline constexpr const char* kTasks = "lots";  // in a job their number, in a heartbeat a list
inline constexpr const char* kCpus = "cores";
inline constexpr const char* kGpus = "accelerators";
inline constexpr const char* kMemory_gb = "mem_gb";

// Fields of a job.
inline constexpr const char* kJobId = "name_id";
inline constexpr const char* kJobClass = "lot_class";
inline constexpr const char* kTeam = "consignor";
inline constexpr const char* kJobKind = "sale_kind";
inline constexpr const char* kPriority = "urgency";
inline constexpr const char* kOneZone = "same_place";
inline constexpr const char* kSpread = "scatter";
inline constexpr const char* kImage = "bundle";
inline constexpr const char* kImageSize_gb = "size_gb";
inline constexpr const char* kEstimate_s = "expected_s";
inline constexpr const char* kCheckpointInterval_s = "tally_s";
inline constexpr const char* kCheckpointDuration_s = "bank_s";
inline constexpr const char* kDeadline_s = "due_s";
inline constexpr const char* kDependencies = "awaits";
inline constexpr const char* kDone = "done";
inline constexpr const char* kRunning = "running";

// Fields of workers' heartbeats and of the responses to them.
inline constexpr const char* kMachine = "millstone";
inline constexpr const char* kAgentEpoch = "shift";
inline constexpr const char* kHeartbeatSeq = "tick";
inline constexpr const char* kFencingToken = "gavel";
inline constexpr const char* kInterruptionNotice_s = "recall_s";
inline constexpr const char* kTask = "lot";  // JOB/INDEX
inline constexpr const char* kAttempt = "try";
inline constexpr const char* kExitCause = "cause";
inline constexpr const char* kSaved = "kept";
inline constexpr const char* kCommands = "orders";
inline constexpr const char* kCommand = "order";
inline constexpr const char* kGrace_s = "wind_down_s";
inline constexpr const char* kLeader = "clerk";

// Fields of the cloud API.
inline constexpr const char* kTypeName = "label";
inline constexpr const char* kImageCache_gb = "local_gb";
inline constexpr const char* kFetchRate = "fetch_gb_per_s";
inline constexpr const char* kPrice = "hourly";
inline constexpr const char* kSpotPrice = "spot_price";
inline constexpr const char* kBoot_s = "startup_s";
inline constexpr const char* kZones = "yards";
inline constexpr const char* kMachines = "millstones";
inline constexpr const char* kMachineName = "name_id";
inline constexpr const char* kAge_s = "age_s";
inline constexpr const char* kMorePages = "has_next";
inline constexpr const char* kError = "error";
inline constexpr const char* kProvisionRequest = "hire";
inline constexpr const char* kCount = "count";

// One row of a table that maps enum values to their names on the wire.
template <class T>
struct EnumName {
    const char* wire;
    T value;
};

// Returns the value with this name on the wire; null if the table has none.
template <class T, size_t N>
const T* find_value(const EnumName<T> (&names)[N], std::string_view text) {
    for (const auto& row : names)
        if (text == row.wire) return &row.value;
    return nullptr;
}

// Reads the enum value of a required field; throws BadMessage.
template <class T, size_t N>
T read_value(const EnumName<T> (&names)[N], const boost::json::object& o, const char* field) {
    const auto* value = find_value(names, read::text(o, field));
    if (!value) read::throw_invalid(field);
    return *value;
}

// Returns the name of a value on the wire. The table must have a row for each value.
template <class T, size_t N>
const char* name_of(const EnumName<T> (&names)[N], T value) {
    for (const auto& row : names)
        if (value == row.value) return row.wire;
    return names[0].wire;
}

}  // namespace weirmill::wire
