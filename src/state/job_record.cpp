#include "state/job_record.h"

#include <algorithm>
#include <utility>

namespace weirmill {

namespace json = boost::json;

namespace {

constexpr size_t kSegmentOverheadBytes = 8;  // brackets and commas around an entry
constexpr size_t kVariableHeaderBytes = 60;  // fields `cancelled` and `ready`
constexpr size_t kPartOverheadBytes = 60;    // tag, job id and part number

// Every record that is written after a cancellation was requested states the cancellation. The
// cancellation entry alone is not enough: it may precede the rewritten record, even in the same
// transaction, and a reader skips it once the segments with the job's first record are deleted.
// Without this rule, a new leader restored a job as live whose cancellation had been confirmed to
// the user.
json::object record_header(const Job& job) {
    json::object o{{"at", job.submitted_wall}};
    if (job.ready_wall > 0) o["ready"] = job.ready_wall;
    if (job.cancelled) o["cancelled"] = true;
    return o;
}

json::object record_body(const Job& job, Index index, const ClusterState& cluster) {
    auto body = submission_json(job.spec, cluster.names);
    if (!job.waits_for_dependencies || job.cancel_durable) return body;
    json::array dependency_ids;
    for (auto d : cluster.dependencies().dependencies_of(index))
        dependency_ids.emplace_back(cluster.jobs[d]->spec.id);
    body["awaits"] = std::move(dependency_ids);
    return body;
}

bool inside_utf8_character(char c) { return (static_cast<unsigned char>(c) & 0xC0) == 0x80; }

// Returns the length of the part that begins at `offset`, such that no UTF-8 character is split.
size_t part_length(const std::string& body, size_t offset, size_t max_bytes) {
    size_t length = std::min(max_bytes, body.size() - offset);
    while (offset + length < body.size() && inside_utf8_character(body[offset + length])) --length;
    return length;
}

}  // namespace

std::string job_record(const Job& job, Index index, const ClusterState& cluster) {
    json::object o{{"job", record_body(job, index, cluster)}};
    for (auto& field : record_header(job)) o.insert(field);
    return job_entry(std::move(o));
}

size_t single_record_bytes(const Job& job, const ClusterState& cluster) {
    json::object o{{"job", submission_json(job.spec, cluster.names)}, {"at", job.submitted_wall}};
    return job_entry(std::move(o)).size() + kVariableHeaderBytes;
}

std::string multi_part_end(const Job& job, size_t parts) {
    auto header = record_header(job);
    header["id"] = job.spec.id;
    header["pieces"] = parts;
    return job_entry(std::move(header));
}

std::vector<std::string> job_record_entries(const Job& job, Index index,
                                            const ClusterState& cluster, size_t max_segment_bytes) {
    std::vector<std::string> out{job_record(job, index, cluster)};
    if (out[0].size() + kSegmentOverheadBytes <= max_segment_bytes) return out;
    out.clear();
    auto body = json::serialize(record_body(job, index, cluster));
    // A part is JSON text inside a JSON string: escaping can double its length.
    const size_t max_part_bytes = max_segment_bytes / 2 - kPartOverheadBytes;
    for (size_t offset = 0; offset < body.size();) {
        size_t length = part_length(body, offset, max_part_bytes);
        out.push_back(part_entry(job.spec.id, out.size(), body.substr(offset, length)));
        offset += length;
    }
    out.push_back(multi_part_end(job, out.size()));
    return out;
}

void JobRecordDecoder::add_part(const json::array& entry, uint64_t segment) {
    auto id = entry_job_id(entry);
    auto part = parse_part(entry);
    if (part.number == 0) partial_records_[id] = {"", 0, segment};
    auto found = partial_records_.find(id);
    if (found == partial_records_.end() || found->second.next_part != part.number) return;
    found->second.body += part.text;
    ++found->second.next_part;
}

bool JobRecordDecoder::ends_multi_part(const json::array& entry) {
    return read::field(read::object(entry[1]), "pieces") != nullptr;
}

std::optional<DecodedJobRecord> JobRecordDecoder::decode(const json::array& entry,
                                                         uint64_t segment) {
    const auto& header = read::object(entry[1]);
    if (!ends_multi_part(entry)) {
        const auto* body = read::field(header, "job");
        if (!body) read::throw_invalid("job");
        return DecodedJobRecord{&header, body, {}, segment};
    }
    auto found = partial_records_.find(read::text(header, "id"));
    if (found == partial_records_.end() || found->second.next_part != read::count(header, "pieces"))
        return {};
    auto record = std::move(found->second);
    partial_records_.erase(found);
    return DecodedJobRecord{&header, nullptr, read::parse(record.body), record.first_segment};
}

}  // namespace weirmill
