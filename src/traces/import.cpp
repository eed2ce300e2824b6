#include "traces/import.h"

#include <simdjson.h>

#include <algorithm>
#include <charconv>
#include <queue>

#include "protocol/json_write.h"
#include "protocol/user_codec.h"

namespace weirmill::traces {

namespace {

constexpr size_t kFlushBytes = 1 << 20;  // buffered output is written from this size on

// Reads the records of one input.
class RecordSource {
  public:
    RecordSource(const std::string& path, Reader& reader) : lines_(path), reader_(reader) {}

    // Reads the next record into `line`, whose number is that of the record's first line, and
    // counts the lines that are not records. Returns false if no record is left.
    bool next(Line& line, uint64_t& other_lines) {
        if (reader_.framing() == Reader::RecordFraming::JsonArray) return next_element(line);
        while (lines_.next(line)) {
            if (line.truncated || line.too_long || !reader_.is_comment(line.text, line.number))
                return true;
            ++other_lines;
        }
        return false;
    }
    const std::string& error() const { return lines_.error(); }

  private:
    // Reads the next element of a JSON array. Only brackets, commas and blanks are expected between
    // the elements.
    bool next_element(Line& out) {
        text_.clear();
        out = {};
        int depth = 0;
        bool in_string = false, escaped = false;
        for (;;) {
            if (line_pos_ >= line_.text.size()) {
                if (line_.truncated || !lines_.next(line_)) {
                    out.truncated = line_.truncated || depth > 0;
                    if (out.truncated && out.element == 0) {  // the input ends between two elements
                        out.number = line_.number;
                        out.element = ++elements_;
                    }
                    line_ = {};
                    line_pos_ = 0;
                    out.text = text_;
                    return out.truncated;
                }
                line_pos_ = 0;
                if (depth > 0) text_ += ' ';
                continue;
            }
            // The rest of a line that is too long is lost, so the element that it belongs to is
            // rejected.
            if (line_.too_long && line_pos_ + 1 == line_.text.size()) out.too_long = true;
            char c = line_.text[line_pos_++];
            if (depth == 0) {
                if (c == ' ' || c == '\t' || c == ',' || c == '[' || c == ']') continue;
                out.number = line_.number;
                out.element = ++elements_;
                if (c != '{') {
                    // Not an object: the text up to the next comma is one record, which will be
                    // rejected.
                    auto comma = line_.text.find(',', line_pos_);
                    out.text = line_.text.substr(line_pos_ - 1, comma == std::string_view::npos
                                                                    ? comma
                                                                    : comma - line_pos_ + 1);
                    line_pos_ += out.text.size() - 1;
                    return true;
                }
                depth = 1;
                text_ += c;
                continue;
            }
            if (text_.size() < kMaxLineBytes)
                text_ += c;
            else
                out.too_long = true;
            if (in_string) {
                if (escaped)
                    escaped = false;
                else if (c == '\\')
                    escaped = true;
                else if (c == '"')
                    in_string = false;
            } else if (c == '"') {
                in_string = true;
            } else if (c == '{' || c == '[') {
                ++depth;
            } else if ((c == '}' || c == ']') && --depth == 0) {
                out.text = text_;
                return true;
            }
        }
    }

    LineSource lines_;
    Reader& reader_;
    Line line_;
    size_t line_pos_ = 0;
    uint64_t elements_ = 0;
    std::string text_;
};

// Runs one import.
class Import {
  public:
    Import(const Format& format, const std::vector<std::string>& inputs, const Mapping& mapping,
           const std::vector<MachineType>& types, const TextSink& jobs,
           const TextSink& dispositions)
        : reader_(format.make()),
          inputs_(inputs),
          builder_(mapping, types),
          assembler_(reader_->numeric_keys(), mapping.time_tolerance_s,
                     [this](TraceJob&& job) { on_job_closed(std::move(job)); }),
          write_jobs_(jobs),
          write_dispositions_(dispositions) {
        for (auto& input : inputs) {
            auto& prefix = location_prefixes_.emplace_back("\"file\":");
            write::text(prefix, input);
            prefix += ",\"line\":";
        }
    }

    ImportSummary run() {
        std::vector<std::unique_ptr<RecordSource>> files;
        for (auto& input : inputs_)
            files.push_back(std::make_unique<RecordSource>(input, *reader_));
        reader_->ordered_by_time() ? merge_by_time(files) : read_by_table(files);
        assembler_.finish();
        write_deferred_jobs();
        for (auto& file : files)
            if (!file->error().empty()) summary_.input_errors.push_back(file->error());
        summary_.counters = assembler_.counters();
        flush(true);
        return std::move(summary_);
    }

  private:
    // The time of the next record of a file, by which files are merged.
    struct NextRecord {
        double time_s = 0;
        uint32_t file = 0;
        bool operator>(const NextRecord& other) const {
            return std::tie(time_s, file) > std::tie(other.time_s, other.file);
        }
    };

    void merge_by_time(std::vector<std::unique_ptr<RecordSource>>& files) {
        std::vector<Line> next_records(files.size());
        std::priority_queue<NextRecord, std::vector<NextRecord>, std::greater<>> order;
        bool single_file = files.size() == 1;  // its records keep their order
        // A record whose time can't be read follows the record before it.
        std::vector<double> previous_s(files.size(), 0);
        auto read_next = [&](uint32_t i) {
            if (!files[i]->next(next_records[i], summary_.other_lines)) return;
            double time_s = single_file || next_records[i].too_long || next_records[i].truncated
                                ? kUnknown
                                : reader_->record_time(next_records[i].text);
            if (std::isnan(time_s)) time_s = previous_s[i];
            previous_s[i] = time_s;
            order.push({time_s, i});
        };
        for (uint32_t i = 0; i < files.size(); ++i) read_next(i);
        while (!order.empty()) {
            auto i = order.top().file;
            order.pop();
            process_record(next_records[i], i);
            read_next(i);
        }
    }

    // The first record of a file determines its table. Records of other tables in the same file are
    // read in the order of the file.
    void read_by_table(std::vector<std::unique_ptr<RecordSource>>& files) {
        struct FirstRecord {
            int table;
            uint32_t file;
            Line line;
        };
        std::vector<FirstRecord> first_records;
        for (uint32_t i = 0; i < files.size(); ++i) {
            Line line;
            if (files[i]->next(line, summary_.other_lines))
                first_records.push_back({reader_->table_index(line.text), i, line});
        }
        std::stable_sort(first_records.begin(), first_records.end(),
                         [](auto& a, auto& b) { return a.table < b.table; });
        for (auto& first : first_records) {
            process_record(first.line, first.file);
            for (Line line; files[first.file]->next(line, summary_.other_lines);)
                process_record(line, first.file);
        }
    }

    void process_record(const Line& line, uint32_t file) {
        ++summary_.records;
        RecordLocation location{file, line.number, line.element};
        event_ = {};
        Rejection rejection;
        if (line.too_long)
            rejection = {RejectReason::LineTooLong,
                         "longer than " + std::to_string(kMaxLineBytes) + " bytes"};
        else if (line.truncated)
            rejection = {RejectReason::InputTruncated, "the input ends within this record"};
        else if (!simdjson::validate_utf8(line.text.data(), line.text.size()))
            rejection = {RejectReason::NotUtf8, "the record is not valid UTF-8"};
        else
            rejection = reader_->parse_record(line.text, event_);
        // The job, group or machine of the record is copied first, because the assembler moves the
        // event's texts.
        key_ = !event_.job.empty()     ? event_.job
               : !event_.group.empty() ? event_.group
                                       : event_.machine;
        const char* target =
            event_.job.empty() ? event_.group.empty() ? "machine" : "group" : "job";
        if (rejection.reason == RejectReason::None) {
            // Jobs that this record closes are written after the record.
            processing_record_ = true;
            rejection = assembler_.add(event_, location);
            processing_record_ = false;
        }
        begin_record_disposition(location);
        if (rejection.reason == RejectReason::None) {
            ++summary_.merged_records;
            dispositions_ += "\"is\":\"merged\",\"";
            dispositions_ += target;
            dispositions_ += "\":";
            write::text(dispositions_, key_);
            dispositions_ += "}\n";
        } else {
            ++summary_.rejected_records;
            append_rejection(rejection);
        }
        for (auto& job : closed_jobs_) write_or_defer(std::move(job));
        closed_jobs_.clear();
        flush(false);
    }

    void begin_record_disposition(RecordLocation location) {
        dispositions_ += "{\"record\":{";
        append_location(location);
        dispositions_ += "},";
    }

    void append_location(RecordLocation location) {
        dispositions_ += location_prefixes_[location.file];
        write::number(dispositions_, location.line);
        if (location.element == 0) return;
        dispositions_ += ",\"element\":";
        write::number(dispositions_, location.element);
    }

    void append_rejection(const Rejection& rejection) {
        auto* code = reason_code(rejection.reason);
        ++summary_.reasons[code];
        dispositions_ += "\"is\":\"rejected\",\"reason\":\"";
        dispositions_ += code;
        dispositions_ += "\",\"why\":";
        // The message may contain a text of the script or of the input.
        write::text(dispositions_, simdjson::validate_utf8(rejection.message)
                                       ? std::string_view(rejection.message)
                                       : "(the message is not valid UTF-8)");
        dispositions_ += "}\n";
    }

    void on_job_closed(TraceJob&& job) {
        ++summary_.jobs;
        if (processing_record_)
            closed_jobs_.push_back(std::move(job));
        else
            write_or_defer(std::move(job));
    }

    void write_or_defer(TraceJob&& job) {
        // In a format that is not ordered by time, its dependencies may come later in the input.
        if (!job.attributes.dependencies.empty() && !reader_->ordered_by_time()) {
            deferred_jobs_.push_back(std::move(job));
            return;
        }
        write_job(job);
    }

    // Writes the jobs with dependencies after all other jobs, each after its dependencies.
    void write_deferred_jobs() {
        std::unordered_map<std::string, size_t> index_of_key;
        for (size_t i = 0; i < deferred_jobs_.size(); ++i)
            index_of_key.emplace(deferred_jobs_[i].key, i);
        std::vector<std::vector<size_t>> dependants(deferred_jobs_.size());
        std::vector<size_t> open_dependencies(deferred_jobs_.size(), 0);
        for (size_t i = 0; i < deferred_jobs_.size(); ++i)
            for (auto& key : deferred_jobs_[i].attributes.dependencies)
                if (auto it = index_of_key.find(key); it != index_of_key.end()) {
                    dependants[it->second].push_back(i);
                    ++open_dependencies[i];
                }
        std::queue<size_t> ready;
        for (size_t i = 0; i < deferred_jobs_.size(); ++i)
            if (open_dependencies[i] == 0) ready.push(i);
        std::vector<bool> written(deferred_jobs_.size(), false);
        for (; !ready.empty(); ready.pop()) {
            auto i = ready.front();
            written[i] = true;
            write_job(deferred_jobs_[i]);
            for (auto next : dependants[i])
                if (--open_dependencies[next] == 0) ready.push(next);
        }
        for (size_t i = 0; i < deferred_jobs_.size(); ++i) {
            if (written[i]) continue;
            auto& job = deferred_jobs_[i];
            if (job.rejection.reason == RejectReason::None)
                job.rejection = {RejectReason::DependencyCycle,
                                 "the job depends on itself, or on jobs that depend on themselves"};
            write_job(job);
        }
    }

    // Returns the submission id of a job, or an empty text if the job was not accepted.
    std::string submission_id(const std::string& key) const {
        if (reader_->numeric_keys()) {
            uint64_t number = 0;
            std::from_chars(key.data(), key.data() + key.size(), number);
            return accepted_keys_.contains(number) ? "req-" + key : std::string();
        }
        auto it = submission_ids_.find(key);
        return it == submission_ids_.end() ? std::string() : "req-" + std::to_string(it->second);
    }

    Rejection resolve_dependencies(const TraceJob& job, std::vector<std::string>& ids) const {
        for (auto& key : job.attributes.dependencies) {
            if (key == job.key) return {RejectReason::DependencyCycle, "the job depends on itself"};
            auto id = submission_id(key);
            if (id.empty())
                return {RejectReason::DependencyNotAccepted,
                        "the job depends on job " + key + ", which was not accepted"};
            ids.push_back(std::move(id));
        }
        return {};
    }

    void write_job(TraceJob& job) {
        JobSpec spec;
        auto rejection = builder_.build(job, spec);
        if (rejection.reason == RejectReason::None)
            rejection = resolve_dependencies(job, spec.dependencies);
        dispositions_ += "{\"job\":";
        write::text(dispositions_, job.key);
        dispositions_ += ',';
        append_location(job.location);
        dispositions_ += ',';
        if (rejection.reason != RejectReason::None) {
            ++summary_.rejected_jobs;
            append_rejection(rejection);
            return;
        }
        if (reader_->numeric_keys()) {
            uint64_t number = 0;
            std::from_chars(job.key.data(), job.key.data() + job.key.size(), number);
            accepted_keys_.add(number);
            spec.id = "req-" + job.key;
        } else {
            spec.id = "req-" + std::to_string(summary_.accepted_jobs + 1);
            if (reader_->has_forward_dependencies())
                submission_ids_[job.key] = summary_.accepted_jobs + 1;
        }
        ++summary_.accepted_jobs;
        dispositions_ += "\"is\":\"accepted\",\"id\":";
        write::text(dispositions_, spec.id);
        dispositions_ += "}\n";
        submissions_ += "{\"at_s\":";
        write::number(submissions_, job.attributes.submitted_s);
        submissions_ += ",\"submission\":";
        append_submission(submissions_, spec, builder_.names());
        submissions_ += "}\n";
    }

    void flush(bool force) {
        if (submissions_.size() >= kFlushBytes || force) {
            write_jobs_(submissions_);
            submissions_.clear();
        }
        if (dispositions_.size() >= kFlushBytes || force) {
            write_dispositions_(dispositions_);
            dispositions_.clear();
        }
    }

    std::unique_ptr<Reader> reader_;
    const std::vector<std::string>& inputs_;
    std::vector<std::string> location_prefixes_;  // start of a location in the output, by input
    SubmissionBuilder builder_;
    Assembler assembler_;
    const TextSink& write_jobs_;
    const TextSink& write_dispositions_;
    ImportSummary summary_;
    Event event_;
    std::string key_;
    std::string submissions_, dispositions_;  // buffered output
    bool processing_record_ = false;
    std::vector<TraceJob> closed_jobs_;    // closed by the current record
    std::vector<TraceJob> deferred_jobs_;  // jobs with dependencies that may come later
    Roaring64Map accepted_keys_;           // of formats with numeric keys
    std::unordered_map<std::string, uint64_t> submission_ids_;  // numbers by key, of other formats
};

}  // namespace

std::string ImportSummary::json() const {
    std::string out = "{\"records\":";
    write::number(out, records);
    const std::pair<const char*, uint64_t> counts[] = {
        {"accepted_jobs", accepted_jobs},
        {"rejected_jobs", rejected_jobs},
        {"merged_records", merged_records},
        {"rejected_records", rejected_records},
        {"other_lines", other_lines},
        {"times_put_right", counters.adjusted_times},
        {"time_resyncs", counters.time_resyncs},
        {"machines_undeclared", counters.undeclared_machine_uses},
        {"machines_removed_in_use", counters.machines_removed_in_use}};
    for (auto& [name, count] : counts) {
        out += ",\"";
        out += name;
        out += "\":";
        write::number(out, count);
    }
    out += ",\"reasons\":{";
    bool first = true;
    for (auto& [code, count] : reasons) {
        if (!std::exchange(first, false)) out += ',';
        write::text(out, code);
        out += ':';
        write::number(out, count);
    }
    out += "}}";
    return out;
}

ImportSummary import(const Format& format, const std::vector<std::string>& inputs,
                     const Mapping& mapping, const std::vector<MachineType>& types,
                     const TextSink& jobs, const TextSink& dispositions) {
    return Import(format, inputs, mapping, types, jobs, dispositions).run();
}

}  // namespace weirmill::traces
