#include "traces/fields.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace weirmill::traces {

namespace {
// Times "after the trace" are 2^63 - 1 us; nothing sound is beyond. Sums and differences stay
// finite.
constexpr double kLargest = 1e19;
}  // namespace

const char* reason_code(Reason reason) {
    static constexpr const char* kCodes[] = {"none",           "bad_columns",    "bad_number",
                                             "negative",       "empty_field",    "bad_event",
                                             "bad_json",       "not_utf8",       "line_too_long",
                                             "input_cut",      "time_backwards", "duplicate_job",
                                             "duplicate_task", "unknown_job",    "unknown_task",
                                             "after_end",      "machine_twice",  "machine_unknown",
                                             "no_task",        "no_end",         "end_before_start",
                                             "no_time",        "too_many_tasks", "no_fit",
                                             "cycle",          "awaits_unknown", "reservation",
                                             "script",         "script_failed"};
    static_assert(std::size(kCodes) == static_cast<size_t>(Reason::Count));
    return kCodes[static_cast<size_t>(reason)];
}

CsvRow::CsvRow() { csv_init(&parser_, CSV_STRICT | CSV_STRICT_FINI); }
CsvRow::~CsvRow() { csv_free(&parser_); }

void CsvRow::field(void* data, size_t n, void* row) {
    auto& self = *static_cast<CsvRow*>(row);
    self.text_.append(static_cast<const char*>(data), n);
    self.ends_.push_back(self.text_.size());
}

void CsvRow::end(int, void* row) { ++static_cast<CsvRow*>(row)->rows_; }

bool CsvRow::parse(std::string_view text) {
    text_.clear();
    ends_.clear();
    rows_ = 0;
    bool sound = csv_parse(&parser_, text.data(), text.size(), field, end, this) == text.size() &&
                 csv_fini(&parser_, field, end, this) == 0 && rows_ == 1;
    if (!sound) {  // after an error the parser stays where it was
        csv_free(&parser_);
        csv_init(&parser_, CSV_STRICT | CSV_STRICT_FINI);
    }
    return sound;
}

size_t words(std::string_view text, std::string_view* out, size_t most) {
    size_t n = 0;
    for (size_t i = 0;;) {
        while (i < text.size() && (text[i] == ' ' || text[i] == '\t')) ++i;
        if (i == text.size()) return n;
        size_t from = i;
        while (i < text.size() && text[i] != ' ' && text[i] != '\t') ++i;
        if (n < most) out[n] = text.substr(from, i - from);
        ++n;
    }
}

void Fields::refuse(Reason reason, std::string why) {
    if (ok()) refusal_ = {reason, std::move(why)};
}

double Fields::number(std::string_view text, const char* name, bool needed) {
    if (text.empty()) {
        if (needed) refuse(Reason::EmptyField, std::string(name) + " is empty");
        return kNoTime;
    }
    // Whole numbers of few digits are quicker to read as such, and most are.
    if (text.size() <= 15) {
        int64_t whole = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), whole);
        if (ec == std::errc() && end == text.data() + text.size())
            return static_cast<double>(whole);
    }
    double v = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), v);
    if (ec != std::errc() || end != text.data() + text.size() || !(std::abs(v) <= kLargest)) {
        refuse(Reason::BadNumber, std::string(name) + " is not a number that can be used");
        return kNoTime;
    }
    return v;
}

double Fields::amount(std::string_view text, const char* name, bool needed) {
    double v = number(text, name, needed);
    if (v < 0) refuse(Reason::Negative, std::string(name) + " is negative");
    return v;
}

int64_t Fields::integer(std::string_view text, const char* name, bool needed) {
    if (text.empty()) {
        if (needed) refuse(Reason::EmptyField, std::string(name) + " is empty");
        return kNoTask;
    }
    int64_t v = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), v);
    if (ec != std::errc() || end != text.data() + text.size())
        refuse(Reason::BadNumber, std::string(name) + " is not a whole number that can be used");
    else if (v < 0)
        refuse(Reason::Negative, std::string(name) + " is negative");
    return v;
}

std::string Fields::key(std::string_view text, const char* name) {
    if (text.empty()) refuse(Reason::EmptyField, std::string(name) + " is empty");
    return std::string(text);
}

std::string Fields::numeric_key(std::string_view text, const char* name) {
    auto v = integer(text, name, true);
    return ok() ? std::to_string(v) : std::string();
}

}  // namespace weirmill::traces
