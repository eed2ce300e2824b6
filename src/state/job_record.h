// A job's record in the state log: one entry, or a multi-part record where one entry would be too
// long for a value of the key-value store. state/state_log_codec.h has the spellings.
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/state_log_codec.h"

namespace weirmill {

// The record as a single entry, however long.
std::string job_record(const Job& job, Index index, const ClusterState& cluster);
// The record's entries, usually one, such that each fits into a segment of `max_segment_bytes`. Of
// several, the last is the end of a multi-part record.
std::vector<std::string> job_record_entries(const Job& job, Index index,
                                            const ClusterState& cluster, size_t max_segment_bytes);
// The most bytes that the record takes as a single entry, without what the job waits for.
size_t single_record_bytes(const Job& job, const ClusterState& cluster);
// The last entry of a multi-part record. It carries what may change while the parts are being
// recorded, so that it is encoded again right before it is written.
std::string multi_part_end(const Job& job, size_t parts);

// A job record as read from the log. Refers to the entry that it was decoded from.
struct DecodedJobRecord {
    const boost::json::object* header = nullptr;  // at, ready, cancelled
    const boost::json::value* single = nullptr;   // the submission of a single entry
    std::optional<boost::json::value> assembled;  // that of a multi-part record
    uint64_t first_segment = 0;                   // that holds the record, or its first part
    const boost::json::value& body() const { return assembled ? *assembled : *single; }
};

// Puts multi-part records together while a log is read in its order. A record whose first parts
// were in segments that compaction has deleted is incomplete and is passed over: its job has ended,
// or its record is written again further on.
class JobRecordDecoder {
  public:
    // EntryType::JobPart, in segment `segment`. Throws BadMessage.
    void add_part(const boost::json::array& entry, uint64_t segment);
    // EntryType::Job; nothing: the end of an incomplete multi-part record. Throws BadMessage.
    [[nodiscard]] std::optional<DecodedJobRecord> decode(const boost::json::array& entry,
                                                         uint64_t segment);
    void clear() { partial_.clear(); }
    // Whether the entry, of EntryType::Job, ends a multi-part record.
    static bool ends_multi_part(const boost::json::array& entry);

  private:
    struct Partial {
        std::string body;
        uint64_t next_part = 0, first_segment = 0;
    };
    std::unordered_map<std::string, Partial> partial_;  // by job id
};

}  // namespace weirmill
