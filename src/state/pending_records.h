// Pending records: what a standby controller writes to the key-value store for its users while no
// leader answers it.
//
// Keys: `d/<id>` a submission or a cancellation that a standby accepted and that no leader has
// adopted yet; `v/<name>` states that a controller's version adopts pending records. The
// transactions here are the only ones that a controller writes without being the leader;
// docs/design-standby.md has the argument for each of their conditions, and
// tests/standby_model_test.cpp removes them one by one. Pure functions.
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
// cancel one that the state log holds.
struct PendingRecord {
    boost::json::value job;  // as submission_json writes it
    double at = 0;           // when it was submitted, by the time of day, seconds
    bool cancelled = false;
    bool accepted() const { return !job.is_null(); }
};
std::string pending_record(const PendingRecord& r);
PendingRecord parse_pending_record(const boost::json::value& v);  // throws BadMessage

// Conditions: no standby has accepted the job before, and it has not ended.
CasTransaction accept_transaction(const std::string& id, const PendingRecord& r);
// Condition: the record is still the one that was read at `version` (0: none). Whether the
// cancellation takes effect is read afterwards: the job may have been adopted, or have ended.
CasTransaction cancel_transaction(const std::string& id, uint64_t version, PendingRecord r);
// States that this controller adopts pending records whenever it leads.
CasTransaction adopter_transaction(const std::string& controller);

}  // namespace weirmill
