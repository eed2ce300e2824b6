// Jobs that standby controllers accepted while no leader answered them (state/pending_records.h).
// The leader adopts each into the state log, by the same transaction that records any new job, and
// deletes the pending record after that.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "controller/job_admission.h"
#include "controller/leader_context.h"
#include "state/pending_records.h"

namespace weirmill {

// Used on the leader's executor only. The records change between messages only: what the watch
// brings is posted.
class PendingAdoption {
  public:
    PendingAdoption(LeaderContext& context, FinalStateCache& final_states, JobAdmission& admission);

    // All records there are; nothing: they could not be read.
    boost::asio::awaitable<std::optional<PendingRecordsChanged>> read_all();
    // Starts to watch for changes after `read_all`.
    void start_watch();

    // Takes in the changes and adopts what is due.
    void receive(const PendingRecordsChanged& changes);
    void adopt_due();
    // The dependencies of a pending job were read.
    void resume(const DependenciesRead& read);

    // There is a record for the job, in whatever state.
    [[nodiscard]] bool has_record(const std::string& id) const { return entries_.contains(id); }
    // The job is known from its pending record alone, as yet.
    [[nodiscard]] bool is_pending(const std::string& id) const;
    // Of the record that the job's transaction replaces; 0: there is none.
    [[nodiscard]] uint64_t adopted_version(const std::string& id) const;

    // The transaction that records a new job is over. Does nothing if it adopted no record.
    void adoption_finished(const std::string& id, bool recorded);
    // The state log, or a final state, stands for the record, which is to be deleted.
    void request_deletion(const std::string& id);
    // The record was deleted by the transaction, or stood in its way in a newer version.
    void deletion_finished(const StateLogEntry& entry);

  private:
    enum class Step : uint8_t {
        Waiting,              // to be adopted
        ReadingDependencies,  // final states of jobs that it depends on
        Recording,            // in the state log's queue, or in a transaction
        Deleting,             // the state log, or a final state, stands for it
        Malformed             // can't be adopted
    };
    struct Entry {
        uint64_t version = 0;
        PendingRecord record;
        Step step = Step::Waiting;
        double not_before = 0;  // steady clock, seconds
    };

    boost::asio::awaitable<void> watch(std::shared_ptr<void> keep_alive);
    void receive_record(const KvItem& item);
    void adopt(const std::string& id, Entry& entry);
    void adopt_live(const std::string& id, const Entry& entry, Index index);
    std::optional<JobSpec> parse_job(const std::string& id, const Entry& entry) const;
    void record(JobSpec spec, Entry& entry, DependencyResolution dependencies);

    LeaderContext& context_;
    FinalStateCache& final_states_;
    JobAdmission& admission_;
    std::map<std::string, Entry> entries_;  // by job id
    uint64_t revision_ = 0;                 // of the key-value store, up to which changes are known
};

}  // namespace weirmill
