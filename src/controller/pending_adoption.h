// Adoption of jobs that standby controllers accepted while no leader answered
// (state/pending_records.h). The leader records each of them in the state log with the same kind of
// transaction as any new job, and deletes the pending record afterwards.
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

// Keeps a copy of the pending records and adopts them. Used on the leader's executor only. The copy
// is modified only from the leader's mailbox: the watch posts its events there.
class PendingAdoption {
  public:
    // The arguments must outlive this object.
    PendingAdoption(LeaderContext& context, FinalStateCache& final_states, JobAdmission& admission);

    // Reads all pending records. Returns nothing if they could not be read.
    boost::asio::awaitable<std::optional<PendingRecordsChanged>> read_all();
    // Starts to watch for changes made after `read_all`.
    void start_watch();

    // Applies the changes to the copy and adopts the records that are due.
    void apply_changes(const PendingRecordsChanged& changes);
    // Adopts the records whose retry delay has passed, while the lease is valid.
    void adopt_due();
    // Continues the adoption of a job whose dependencies were read.
    void dependencies_read(const DependenciesRead& read);

    // Returns whether the job has a pending record, in any state.
    [[nodiscard]] bool has_record(const std::string& id) const { return entries_.contains(id); }
    // Returns whether the job has a pending record that is not being deleted.
    [[nodiscard]] bool is_pending(const std::string& id) const;
    // Returns the version of the pending record that the job's transaction replaces; 0: none.
    [[nodiscard]] uint64_t adopted_version(const std::string& id) const;

    // Handles the outcome of the transaction of a new job. Does nothing if the job was not adopted
    // from a pending record.
    void adoption_finished(const std::string& id, bool recorded);
    // Queues the deletion of a record that the state log or a final state has replaced.
    void request_deletion(const std::string& id);
    // Forgets a record that the transaction deleted, or that conflicted with the transaction
    // because its version has changed.
    void deletion_finished(const StateLogEntry& entry);

  private:
    enum class State : uint8_t {
        Waiting,              // not adopted yet
        ReadingDependencies,  // the final states of its dependencies are being read
        Recording,            // its job is queued in the state log or part of a transaction
        Deleting,             // replaced by the state log or a final state; deletion is queued
        Malformed             // the job can't be parsed, so the record stays
    };
    struct Entry {
        uint64_t version = 0;
        PendingRecord record;
        State state = State::Waiting;
        double not_before = 0;  // steady clock, seconds
    };

    boost::asio::awaitable<void> watch(std::shared_ptr<void> keep_alive);
    void update_entry(const KvItem& item);
    void adopt(const std::string& id, Entry& entry);
    void adopt_existing(const std::string& id, const Entry& entry, Index index);
    std::optional<JobSpec> parse_job(const std::string& id, const Entry& entry) const;
    void record_job(JobSpec spec, Entry& entry, DependencyResolution dependencies);

    LeaderContext& context_;
    FinalStateCache& final_states_;
    JobAdmission& admission_;
    std::map<std::string, Entry> entries_;  // by job id
    uint64_t watch_revision_ = 0;  // revision of the key-value store up to which changes are known
};

}  // namespace weirmill
