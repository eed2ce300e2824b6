#include "state/state_log_batch.h"

#include <algorithm>
#include <iterator>

namespace weirmill {

namespace {

constexpr size_t kMaxTxnBytes = 56 * size_t{1024};  // of the 64 KiB that a transaction may have
// A segment is written again with every flush until it is full: more than this costs more than it
// saves.
constexpr size_t kMaxOpenSegmentBytes = 8 * size_t{1024};
constexpr size_t kMaxRowBytes = 700;     // rows of one entry, about
constexpr size_t kSpareValueBytes = 64;  // of a value's limit, left free
constexpr size_t kMinValueBytes = 1024;  // what any key-value store should take
constexpr int kMinTxnOps = 4;
// Overheads in a transaction's text, estimated.
constexpr size_t kOperationBytes = 40;    // of a condition or change beside its key and value
constexpr size_t kSegmentBytes = 100;     // a segment's key, twice, and what stands around it
constexpr size_t kNewSegmentBytes = 300;  // what an entry may need beside its own text

}  // namespace

SegmentLimits::SegmentLimits(int max_changes, size_t max_value_bytes)
    : txn_ops(max_changes),
      hard_bytes(max_value_bytes - kSpareValueBytes),
      soft_bytes(std::min(hard_bytes, kMaxOpenSegmentBytes)),
      row_bytes(std::min(kMaxRowBytes, hard_bytes / 2)) {}

std::optional<SegmentLimits> SegmentLimits::halved() const {
    size_t value_bytes = hard_bytes + kSpareValueBytes;
    int fewer_ops = std::max(kMinTxnOps, txn_ops / 2);
    size_t fewer_bytes = std::max(kMinValueBytes, value_bytes / 2);
    if (fewer_ops >= txn_ops && fewer_bytes >= value_bytes) return {};
    return SegmentLimits(fewer_ops, fewer_bytes);
}

StateLogBatchBuilder::StateLogBatchBuilder(const SegmentLimits& limits, const LogExtent& extent,
                                           std::string open, int max_changes)
    : limits_(limits),
      extent_(extent),
      has_open_(!open.empty()),
      open_untouched_(has_open_),
      changes_left_(max_changes),
      next_number_(extent.next_number) {
    if (has_open_) segments_.push_back({extent.segments.back().number, std::move(open)});
}

void StateLogBatchBuilder::add_condition(std::string key, uint64_t version) {
    bytes_ += key.size() + kOperationBytes;
    batch_.txn.conditions.push_back({std::move(key), version});
}

void StateLogBatchBuilder::add_change(std::string key, std::string value) {
    bytes_ += key.size() + value.size() + kOperationBytes;
    batch_.txn.changes.push_back({std::move(key), std::move(value), 0});
}

void StateLogBatchBuilder::add_deletion(const std::string& key) {
    batch_.txn.changes.push_back({key, "", 0});
}

bool StateLogBatchBuilder::has_bytes_for(size_t bytes) const {
    return bytes_ + bytes <= kMaxTxnBytes;
}

bool StateLogBatchBuilder::completes(Index job) const {
    return std::ranges::any_of(batch_.records, [&](const auto& r) { return r.job == job; });
}

bool StateLogBatchBuilder::append(const std::string& entry) {
    bool fits =
        !segments_.empty() && segments_.back().text.size() + entry.size() + 2 <= limits_.soft_bytes;
    bool reopens = fits && appends_to_open();
    size_t open_bytes = reopens ? segments_.back().text.size() : 0;
    // The first entry of a segment costs the change that writes it.
    bool takes_change = !fits || reopens;
    if (takes_change && changes_left_ < 1) return false;
    if (!has_bytes_for(entry.size() + kNewSegmentBytes + open_bytes)) return false;
    if (entry.size() + 2 > limits_.hard_bytes) return false;

    if (!fits) segments_.push_back({next_number_++, "["});
    if (reopens) open_untouched_ = false;
    if (takes_change) {
        --changes_left_;
        bytes_ += open_bytes + kSegmentBytes;
    }
    auto& text = segments_.back().text;
    if (text.size() > 1) text += ',';
    text += entry;
    bytes_ += entry.size() + 1;
    return true;
}

void StateLogBatchBuilder::finish_segments() {
    if (open_untouched_) segments_.erase(segments_.begin());
    // The log first: its keys show a sender without an answer whether the transaction was applied.
    std::vector<KvChange> writes;
    for (const auto& s : segments_) {
        bool open = has_open_ && s.number == extent_.segments.back().number;
        add_condition(segment_key(s.number), open ? extent_.segments.back().version : 0);
        writes.push_back({segment_key(s.number), s.text + "]", 0});
    }
    batch_.segments = std::move(segments_);
    auto& changes = batch_.txn.changes;
    changes.insert(changes.begin(), std::make_move_iterator(writes.begin()),
                   std::make_move_iterator(writes.end()));
}

}  // namespace weirmill
