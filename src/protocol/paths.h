// URL paths of the HTTP APIs of users, workers, the cloud and the key-value store.
#pragma once
#include <string_view>

namespace weirmill::paths {

inline constexpr std::string_view kJobs = "/v2/runs";
inline constexpr std::string_view kCancel = "/cancel";
inline constexpr std::string_view kHealth = "/healthz";
inline constexpr std::string_view kMetrics = "/metrics";
inline constexpr std::string_view kHeartbeats = "/v1/report";
inline constexpr const char* kCommands = "/commands";
inline constexpr const char* kMachineTypes = "/machine_types";
inline constexpr const char* kMachines = "/machines";
inline constexpr const char* kTerminateMachines = "/machines/return";
inline constexpr const char* kTransactions = "/multi";
inline constexpr const char* kLeases = "/leases";
inline constexpr const char* kRenew = "/renew";

}  // namespace weirmill::paths
