#include "traces/import.h"

#include <simdjson.h>

#include <algorithm>
#include <charconv>
#include <queue>

#include "protocol/json_write.h"
#include "protocol/user_codec.h"

namespace weirmill::traces {

namespace {

constexpr size_t kFlush = 1 << 20;  // bytes of output gathered before they are written

// The records of one input, and the next of them.
class Records {
  public:
    Records(const std::string& path, Reader& reader) : lines_(path), reader_(reader) {}

    // False: none is left. `line.number` is that of the record's first line.
    bool next(Line& line, uint64_t& others) {
        if (reader_.cut() == Reader::Cut::JsonArray) return next_element(line);
        while (lines_.next(line)) {
            if (line.cut || line.too_long || !reader_.comment(line.text, line.number)) return true;
            ++others;
        }
        return false;
    }
    const std::string& broken() const { return lines_.broken(); }

  private:
    // The elements of an array whose brackets and commas are all that stands between them.
    bool next_element(Line& out) {
        text_.clear();
        out = {};
        int depth = 0;
        bool in_text = false, escaped = false;
        for (;;) {
            if (at_ >= line_.text.size()) {
                if (line_.cut || !lines_.next(line_)) {
                    out.cut = line_.cut || depth > 0;
                    if (out.cut && out.element == 0) {  // it broke off between elements
                        out.number = line_.number;
                        out.element = ++elements_;
                    }
                    line_ = {};
                    at_ = 0;
                    out.text = text_;
                    return out.cut;
                }
                at_ = 0;
                if (depth > 0) text_ += ' ';
                continue;
            }
            // What is beyond the longest line is lost to its element, which is refused for that.
            if (line_.too_long && at_ + 1 == line_.text.size()) out.too_long = true;
            char c = line_.text[at_++];
            if (depth == 0) {
                if (c == ' ' || c == '\t' || c == ',' || c == '[' || c == ']') continue;
                out.number = line_.number;
                out.element = ++elements_;
                if (c != '{') {
                    // No object: up to the next comma it is one record, which will be refused.
                    auto to = line_.text.find(',', at_);
                    out.text = line_.text.substr(at_ - 1,
                                                 to == std::string_view::npos ? to : to - at_ + 1);
                    at_ += out.text.size() - 1;
                    return true;
                }
                depth = 1;
                text_ += c;
                continue;
            }
            if (text_.size() < kLongestLine)
                text_ += c;
            else
                out.too_long = true;
            if (in_text) {
                if (escaped)
                    escaped = false;
                else if (c == '\\')
                    escaped = true;
                else if (c == '"')
                    in_text = false;
            } else if (c == '"') {
                in_text = true;
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
    size_t at_ = 0;
    uint64_t elements_ = 0;
    std::string text_;
};

class Import {
  public:
    Import(const Format& format, const std::vector<std::string>& inputs, const Map& map,
           const std::vector<MachineType>& types, const Write& jobs, const Write& dispositions)
        : reader_(format.make()),
          inputs_(inputs),
          shaper_(map, types),
          assembler_(reader_->numeric_keys(), map.back_s,
                     [this](TraceJob&& job) { settle(std::move(job)); }),
          write_jobs_(jobs),
          write_dispositions_(dispositions) {
        for (auto& input : inputs) {
            auto& place = places_.emplace_back("\"file\":");
            write::text(place, input);
            place += ",\"line\":";
        }
    }

    Account run() {
        std::vector<std::unique_ptr<Records>> files;
        for (auto& input : inputs_) files.push_back(std::make_unique<Records>(input, *reader_));
        reader_->timed() ? merge(files) : by_table(files);
        assembler_.finish();
        settle_waiting();
        for (auto& f : files)
            if (!f->broken().empty()) account_.broken.push_back(f->broken());
        account_.notes = assembler_.notes();
        flush(true);
        return std::move(account_);
    }

  private:
    // A record that was read ahead of its turn.
    struct Head {
        double at = 0;
        uint32_t file = 0;
        bool operator>(const Head& o) const { return std::tie(at, file) > std::tie(o.at, o.file); }
    };

    void merge(std::vector<std::unique_ptr<Records>>& files) {
        std::vector<Line> heads(files.size());
        std::priority_queue<Head, std::vector<Head>, std::greater<>> order;
        bool only = files.size() == 1;  // then no time is looked at
        // A record without a time of its own goes right after the one before it.
        std::vector<double> before(files.size(), 0);
        auto pull = [&](uint32_t i) {
            if (!files[i]->next(heads[i], account_.other_lines)) return;
            double at =
                only || heads[i].too_long || heads[i].cut ? kNoTime : reader_->time(heads[i].text);
            if (std::isnan(at)) at = before[i];
            before[i] = at;
            order.push({at, i});
        };
        for (uint32_t i = 0; i < files.size(); ++i) pull(i);
        while (!order.empty()) {
            auto i = order.top().file;
            order.pop();
            record(heads[i], i);
            pull(i);
        }
    }

    // The table of a file is that of its first record. Other tables' records in it are read where
    // they stand.
    void by_table(std::vector<std::unique_ptr<Records>>& files) {
        struct Start {
            int table;
            uint32_t file;
            Line line;
        };
        std::vector<Start> starts;
        for (uint32_t i = 0; i < files.size(); ++i) {
            Line line;
            if (files[i]->next(line, account_.other_lines))
                starts.push_back({reader_->table(line.text), i, line});
        }
        std::stable_sort(starts.begin(), starts.end(),
                         [](auto& a, auto& b) { return a.table < b.table; });
        for (auto& s : starts) {
            record(s.line, s.file);
            for (Line line; files[s.file]->next(line, account_.other_lines);) record(line, s.file);
        }
    }

    void record(const Line& line, uint32_t file) {
        ++account_.records;
        Where where{file, line.number, line.element};
        event_ = {};
        Refusal refusal;
        if (line.too_long)
            refusal = {Reason::LineTooLong,
                       "longer than " + std::to_string(kLongestLine) + " bytes"};
        else if (line.cut)
            refusal = {Reason::InputCut, "the input breaks off here"};
        else if (!simdjson::validate_utf8(line.text.data(), line.text.size()))
            refusal = {Reason::NotUtf8, "bytes that are not UTF-8"};
        else
            refusal = reader_->read(line.text, event_);
        // Where a record goes, named before the event is taken apart.
        key_ = !event_.job.empty()     ? event_.job
               : !event_.group.empty() ? event_.group
                                       : event_.machine;
        const char* part = event_.job.empty() ? event_.group.empty() ? "machine" : "group" : "job";
        if (refusal.reason == Reason::None) {
            // Jobs that end with this record are told of after it.
            holding_ = true;
            refusal = assembler_.take(event_, where);
            holding_ = false;
        }
        begin(where);
        if (refusal.reason == Reason::None) {
            ++account_.merged_records;
            told_ += "\"is\":\"merged\",\"";
            told_ += part;
            told_ += "\":";
            write::text(told_, key_);
            told_ += "}\n";
        } else {
            ++account_.rejected_records;
            reject(refusal);
        }
        for (auto& job : held_) finish(std::move(job));
        held_.clear();
        flush(false);
    }

    void begin(Where where) {
        told_ += "{\"record\":{";
        place(where);
        told_ += "},";
    }

    void place(Where where) {
        told_ += places_[where.file];
        write::number(told_, where.line);
        if (where.element == 0) return;
        told_ += ",\"element\":";
        write::number(told_, where.element);
    }

    void reject(const Refusal& refusal) {
        auto* code = reason_code(refusal.reason);
        ++account_.reasons[code];
        told_ += "\"is\":\"rejected\",\"reason\":\"";
        told_ += code;
        told_ += "\",\"why\":";
        // A script's sentence, or a piece of the input, may be anything.
        write::text(told_, simdjson::validate_utf8(refusal.why) ? std::string_view(refusal.why)
                                                                : "(a sentence that is not UTF-8)");
        told_ += "}\n";
    }

    void settle(TraceJob&& job) {
        ++account_.jobs;
        if (holding_)
            held_.push_back(std::move(job));
        else
            finish(std::move(job));
    }

    void finish(TraceJob&& job) {
        // What it waits for may come later, where no time orders jobs.
        if (!job.facts.awaits.empty() && !reader_->timed()) {
            waiting_.push_back(std::move(job));
            return;
        }
        tell(job);
    }

    // Jobs that wait for others, once all others are settled: each after those that it waits for.
    void settle_waiting() {
        std::unordered_map<std::string, size_t> index;
        for (size_t i = 0; i < waiting_.size(); ++i) index.emplace(waiting_[i].key, i);
        std::vector<std::vector<size_t>> then(waiting_.size());
        std::vector<size_t> before(waiting_.size(), 0);
        for (size_t i = 0; i < waiting_.size(); ++i)
            for (auto& key : waiting_[i].facts.awaits)
                if (auto it = index.find(key); it != index.end()) {
                    then[it->second].push_back(i);
                    ++before[i];
                }
        std::queue<size_t> ready;
        for (size_t i = 0; i < waiting_.size(); ++i)
            if (before[i] == 0) ready.push(i);
        std::vector<bool> done(waiting_.size(), false);
        for (; !ready.empty(); ready.pop()) {
            auto i = ready.front();
            done[i] = true;
            tell(waiting_[i]);
            for (auto next : then[i])
                if (--before[next] == 0) ready.push(next);
        }
        for (size_t i = 0; i < waiting_.size(); ++i) {
            if (done[i]) continue;
            auto& job = waiting_[i];
            if (job.refusal.reason == Reason::None)
                job.refusal = {Reason::Cycle,
                               "it waits for itself, or for jobs that wait for themselves"};
            tell(job);
        }
    }

    // The id of a job's key; empty: it was not accepted.
    std::string id_of(const std::string& key) const {
        if (reader_->numeric_keys()) {
            uint64_t v = 0;
            std::from_chars(key.data(), key.data() + key.size(), v);
            return accepted_.contains(v) ? "req-" + key : std::string();
        }
        auto it = ids_.find(key);
        return it == ids_.end() ? std::string() : "req-" + std::to_string(it->second);
    }

    Refusal resolve(const TraceJob& job, std::vector<std::string>& out) const {
        for (auto& key : job.facts.awaits) {
            if (key == job.key) return {Reason::Cycle, "it waits for itself"};
            auto id = id_of(key);
            if (id.empty())
                return {Reason::AwaitsUnknown,
                        "it waits for job " + key + ", which was not accepted"};
            out.push_back(std::move(id));
        }
        return {};
    }

    void tell(TraceJob& job) {
        JobSpec spec;
        auto refusal = shaper_.shape(job, spec);
        if (refusal.reason == Reason::None) refusal = resolve(job, spec.dependencies);
        told_ += "{\"job\":";
        write::text(told_, job.key);
        told_ += ',';
        place(job.where);
        told_ += ',';
        if (refusal.reason != Reason::None) {
            ++account_.rejected_jobs;
            reject(refusal);
            return;
        }
        if (reader_->numeric_keys()) {
            uint64_t v = 0;
            std::from_chars(job.key.data(), job.key.data() + job.key.size(), v);
            accepted_.add(v);
            spec.id = "req-" + job.key;
        } else {
            spec.id = "req-" + std::to_string(account_.accepted_jobs + 1);
            if (reader_->graphs()) ids_[job.key] = account_.accepted_jobs + 1;
        }
        ++account_.accepted_jobs;
        told_ += "\"is\":\"accepted\",\"id\":";
        write::text(told_, spec.id);
        told_ += "}\n";
        lines_ += "{\"at_s\":";
        write::number(lines_, job.facts.submitted_s);
        lines_ += ",\"submission\":";
        append_submission(lines_, spec, shaper_.names());
        lines_ += "}\n";
    }

    void flush(bool all) {
        if (lines_.size() >= kFlush || all) {
            write_jobs_(lines_);
            lines_.clear();
        }
        if (told_.size() >= kFlush || all) {
            write_dispositions_(told_);
            told_.clear();
        }
    }

    std::unique_ptr<Reader> reader_;
    const std::vector<std::string>& inputs_;
    std::vector<std::string> places_;  // of each input, what a line's place begins with
    Shaper shaper_;
    Assembler assembler_;
    const Write& write_jobs_;
    const Write& write_dispositions_;
    Account account_;
    Event event_;
    std::string key_;
    std::string lines_, told_;  // output, gathered
    bool holding_ = false;
    std::vector<TraceJob> held_;     // that ended with the record being told of
    std::vector<TraceJob> waiting_;  // for jobs that may come later
    Roaring64Map accepted_;          // numeric keys
    std::unordered_map<std::string, uint64_t> ids_;
};

}  // namespace

std::string Account::json() const {
    std::string out = "{\"records\":";
    write::number(out, records);
    const std::pair<const char*, uint64_t> counts[] = {
        {"accepted_jobs", accepted_jobs},
        {"rejected_jobs", rejected_jobs},
        {"merged_records", merged_records},
        {"rejected_records", rejected_records},
        {"other_lines", other_lines},
        {"times_put_right", notes.times_put_right},
        {"time_resyncs", notes.time_resyncs},
        {"machines_undeclared", notes.machines_undeclared},
        {"machines_removed_in_use", notes.machines_removed_in_use}};
    for (auto& [name, n] : counts) {
        out += ",\"";
        out += name;
        out += "\":";
        write::number(out, n);
    }
    out += ",\"reasons\":{";
    bool first = true;
    for (auto& [code, n] : reasons) {
        if (!std::exchange(first, false)) out += ',';
        write::text(out, code);
        out += ':';
        write::number(out, n);
    }
    out += "}}";
    return out;
}

Account import(const Format& format, const std::vector<std::string>& inputs, const Map& map,
               const std::vector<MachineType>& types, const Write& jobs,
               const Write& dispositions) {
    return Import(format, inputs, map, types, jobs, dispositions).run();
}

}  // namespace weirmill::traces
