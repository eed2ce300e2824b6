// The record of a job in the state log: a single entry, or a multi-part record if a single entry
// would exceed the value limit of the key-value store. state/state_log_codec.h describes the
// encoding.
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/state_log_codec.h"

namespace weirmill {

// Returns the record as a single entry of any length.
std::string job_record(const Job& job, Index index, const ClusterState& cluster);
// Returns the entries of the record, each of which fits a segment of `max_segment_bytes`. There is
// usually one; if there are several, the last one is the end of a multi-part record.
std::vector<std::string> job_record_entries(const Job& job, Index index,
                                            const ClusterState& cluster, size_t max_segment_bytes);
// Returns an upper bound of the record's size as a single entry, without its dependencies.
size_t single_record_bytes(const Job& job, const ClusterState& cluster);
// Returns the last entry of a multi-part record. It holds the fields that may change while the
// parts are recorded, so callers encode it again right before they write it.
std::string multi_part_end(const Job& job, size_t parts);

// A job record that was read from the log. Refers to the entry from which it was decoded.
struct DecodedJobRecord {
    const boost::json::object* header = nullptr;       // fields `at`, `ready` and `cancelled`
    const boost::json::value* single_body = nullptr;   // submission in a single entry
    std::optional<boost::json::value> assembled_body;  // submission of a multi-part record
    uint64_t first_segment = 0;                        // segment with the record or its first part
    const boost::json::value& body() const {
        return assembled_body ? *assembled_body : *single_body;
    }
};

// Decodes job records and assembles multi-part records while a log is read in order. Skips a
// multi-part record whose first parts compaction has deleted: either the job has ended or the log
// holds a rewritten record further on.
class JobRecordDecoder {
  public:
    // Adds an entry of EntryType::JobPart from the given segment. Throws BadMessage.
    void add_part(const boost::json::array& entry, uint64_t segment);
    // Decodes an entry of EntryType::Job. Returns nothing for the end of an incomplete multi-part
    // record. Throws BadMessage.
    [[nodiscard]] std::optional<DecodedJobRecord> decode(const boost::json::array& entry,
                                                         uint64_t segment);
    void clear() { partial_records_.clear(); }
    // Returns whether an entry of EntryType::Job is the end of a multi-part record.
    static bool ends_multi_part(const boost::json::array& entry);

  private:
    struct PartialRecord {
        std::string body;
        uint64_t next_part = 0, first_segment = 0;
    };
    std::unordered_map<std::string, PartialRecord> partial_records_;  // by job id
};

}  // namespace weirmill
