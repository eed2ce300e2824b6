// Records of the doors: what a controller writes to the state service for its users while no leader
// answers it.
//
// Keys: `d/<id>` what a door took for a job and no leader has collected yet; `v/<name>` that a
// controller's version collects them. The transactions here are the only ones that a controller
// writes without being the leader; docs/design-doors.md has the argument for each of their
// conditions, and tests/door_model_test.cpp takes them away one by one.
#pragma once
#include <boost/json.hpp>
#include <string>

#include "protocol/kv_codec.h"

namespace weirmill {

inline const std::string kPendingPrefix = "d/";
inline const std::string kAdopterPrefix = "v/";
std::string pending_key(const std::string& id);
std::string adopter_key(const std::string& controller);

// A job that was accepted, a job that was accepted and then cancelled, or (`job` null) a request to
// cancel one that the log holds.
struct PendingRecord {
    boost::json::value job;  // as submission_json writes it
    double at = 0;           // when it was submitted, by the time of day, seconds
    bool cancelled = false;
    bool accepted() const { return !job.is_null(); }
};
std::string pending_record(const PendingRecord& r);
PendingRecord parse_pending_record(const boost::json::value& v);  // throws BadMessage

// The job was not accepted by a door before, and has not ended.
CasTransaction accept_transaction(const std::string& id, const PendingRecord& r);
// The record still stands as it was read at `version` (0: none). Whether the cancellation holds is
// read afterwards: the job may have been collected, or have ended.
CasTransaction cancel_transaction(const std::string& id, uint64_t version, PendingRecord r);
// This controller collects door records whenever it leads.
CasTransaction adopter_transaction(const std::string& controller);

}  // namespace weirmill
