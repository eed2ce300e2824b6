#include "state/job_record.h"

#include <algorithm>
#include <utility>

namespace weirmill {

namespace json = boost::json;

namespace {

constexpr size_t kSegmentOverheadBytes = 8;  // brackets and commas around an entry
constexpr size_t kVariableHeaderBytes = 60;  // its cancellation, and when it became ready
constexpr size_t kPartOverheadBytes = 60;    // tag, job id and number of a part

// A requested cancellation goes into every record that is written from then on. Its own entry may
// precede the rewritten record, even in the same transaction, and is passed over by a reader once
// the segments with the job's first record are deleted. A cancelled job whose user had been
// answered was once restored as alive that way.
json::object record_header(const Job& job) {
    json::object o{{"at", job.submitted}};
    if (job.ready > 0) o["ready"] = job.ready;
    if (job.cancelled) o["cancelled"] = true;
    return o;
}

json::object record_body(const Job& job, Index index, const ClusterState& cluster) {
    auto body = submission_json(job.spec, cluster.names);
    if (!job.waits || job.cancel_recorded) return body;
    json::array awaits;
    for (auto d : cluster.dependencies().of(index)) awaits.emplace_back(cluster.jobs[d]->spec.id);
    body["awaits"] = std::move(awaits);
    return body;
}

bool inside_utf8_character(char c) { return (static_cast<unsigned char>(c) & 0xC0) == 0x80; }

// The length of the part that begins at `at`, so that no character is cut.
size_t part_length(const std::string& body, size_t at, size_t max_bytes) {
    size_t n = std::min(max_bytes, body.size() - at);
    while (at + n < body.size() && inside_utf8_character(body[at + n])) --n;
    return n;
}

}  // namespace

std::string job_record(const Job& job, Index index, const ClusterState& cluster) {
    json::object o{{"job", record_body(job, index, cluster)}};
    for (auto& field : record_header(job)) o.insert(field);
    return job_entry(std::move(o));
}

size_t single_record_bytes(const Job& job, const ClusterState& cluster) {
    json::object o{{"job", submission_json(job.spec, cluster.names)}, {"at", job.submitted}};
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
    // A part is JSON text inside a JSON string: quoting takes up to twice its length.
    const size_t max_part_bytes = max_segment_bytes / 2 - kPartOverheadBytes;
    for (size_t at = 0; at < body.size();) {
        size_t n = part_length(body, at, max_part_bytes);
        out.push_back(part_entry(job.spec.id, out.size(), body.substr(at, n)));
        at += n;
    }
    out.push_back(multi_part_end(job, out.size()));
    return out;
}

void JobRecordDecoder::add_part(const json::array& entry, uint64_t segment) {
    auto id = entry_job_id(entry);
    auto part = parse_part(entry);
    if (part.number == 0) partial_[id] = {"", 0, segment};
    auto found = partial_.find(id);
    if (found == partial_.end() || found->second.next_part != part.number) return;
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
    auto found = partial_.find(read::text(header, "id"));
    if (found == partial_.end() || found->second.next_part != read::count(header, "pieces"))
        return {};
    auto record = std::move(found->second);
    partial_.erase(found);
    return DecodedJobRecord{&header, nullptr, read::parse(record.body), record.first_segment};
}

}  // namespace weirmill
