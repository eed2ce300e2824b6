// The paths of every interface, as they stand on the wire.
#pragma once
#include <string_view>

namespace weirmill::paths {

inline constexpr std::string_view kJobs = "/v2/runs";
inline constexpr std::string_view kCancel = "/cancel";
inline constexpr std::string_view kHealth = "/healthz";
inline constexpr std::string_view kMetrics = "/metrics";
inline constexpr std::string_view kReport = "/v1/report";
inline constexpr const char* kCommands = "/commands";
inline constexpr const char* kMachineTypes = "/machine_types";
inline constexpr const char* kMachines = "/machines";
inline constexpr const char* kReturn = "/machines/return";
inline constexpr const char* kTxn = "/multi";
inline constexpr const char* kLeases = "/leases";
inline constexpr const char* kRenew = "/renew";

}  // namespace weirmill::paths
