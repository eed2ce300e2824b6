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

#include "protocol/state_codec.h"

namespace weirmill {

inline const std::string kDoorKeys = "d/";
inline const std::string kMarkKeys = "v/";
std::string door_key(const std::string& id);
std::string mark_key(const std::string& controller);

// A job that was accepted, a job that was accepted and then cancelled, or (`job` null) a request to
// cancel one that the log holds.
struct DoorRecord {
    boost::json::value job;  // as submission_json writes it
    double at = 0;           // when it was submitted, by the time of day, seconds
    bool cancelled = false;
    bool accepted() const { return !job.is_null(); }
};
std::string door_record(const DoorRecord& r);
DoorRecord parse_door_record(const boost::json::value& v);  // throws BadMessage

// The job was not accepted by a door before, and has not ended.
CasTransaction door_accept(const std::string& id, const DoorRecord& r);
// The record still stands as it was read at `version` (0: none). Whether the cancellation holds is
// read afterwards: the job may have been collected, or have ended.
CasTransaction door_cancel(const std::string& id, uint64_t version, DoorRecord r);
// This controller collects door records whenever it leads.
CasTransaction door_mark(const std::string& controller);

}  // namespace weirmill
