#include "state/state_log_batch.h"

#include <algorithm>
#include <iterator>

namespace weirmill {

namespace {

// The key-value store allows 64 KiB for a transaction.
constexpr size_t kMaxTxnBytes = 56 * size_t{1024};
// Every transaction writes the open segment again until it is full, so that larger segments cost
// more than they save.
constexpr size_t kMaxOpenSegmentBytes = 8 * size_t{1024};
constexpr size_t kMaxRowBytes = 700;     // approximate limit of the rows in one entry
constexpr size_t kSpareValueBytes = 64;  // margin below the value limit
constexpr size_t kMinValueBytes = 1024;  // value limit that any key-value store should allow
constexpr int kMinTxnOps = 4;
// Estimated overhead in the text of a transaction.
constexpr size_t kOperationBytes = 40;    // for a condition or change besides its key and value
constexpr size_t kSegmentBytes = 100;     // for a segment's condition and change with its key
constexpr size_t kNewSegmentBytes = 300;  // upper bound for an entry besides its own text

}  // namespace

SegmentLimits::SegmentLimits(int max_txn_changes, size_t max_value_bytes)
    : max_changes(max_txn_changes),
      max_segment_bytes(max_value_bytes - kSpareValueBytes),
      full_segment_bytes(std::min(max_segment_bytes, kMaxOpenSegmentBytes)),
      row_bytes(std::min(kMaxRowBytes, max_segment_bytes / 2)) {}

std::optional<SegmentLimits> SegmentLimits::halved() const {
    size_t value_bytes = max_segment_bytes + kSpareValueBytes;
    int fewer_changes = std::max(kMinTxnOps, max_changes / 2);
    size_t fewer_bytes = std::max(kMinValueBytes, value_bytes / 2);
    if (fewer_changes >= max_changes && fewer_bytes >= value_bytes) return {};
    return SegmentLimits(fewer_changes, fewer_bytes);
}

StateLogBatchBuilder::StateLogBatchBuilder(const SegmentLimits& limits, const LogExtent& extent,
                                           std::string open_text, int max_changes)
    : limits_(limits),
      extent_(extent),
      has_open_(!open_text.empty()),
      open_unchanged_(has_open_),
      changes_left_(max_changes),
      next_number_(extent.next_number) {
    if (has_open_) segments_.push_back({extent.segments.back().number, std::move(open_text)});
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
    bool fits = !segments_.empty() &&
                segments_.back().text.size() + entry.size() + 2 <= limits_.full_segment_bytes;
    bool reopens = fits && appends_to_open();
    size_t open_bytes = reopens ? segments_.back().text.size() : 0;
    // The first new entry of a segment needs the change that writes the segment.
    bool takes_change = !fits || reopens;
    if (takes_change && changes_left_ < 1) return false;
    if (!has_bytes_for(entry.size() + kNewSegmentBytes + open_bytes)) return false;
    if (entry.size() + 2 > limits_.max_segment_bytes) return false;

    if (!fits) segments_.push_back({next_number_++, "["});
    if (reopens) open_unchanged_ = false;
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
    if (open_unchanged_) segments_.erase(segments_.begin());
    // The segments come first: from their keys, a leader that got no answer reads whether the
    // transaction was applied.
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
