#include "traces/fields.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace weirmill::traces {

namespace {
// The largest valid number of a trace is 2^63 - 1, in microseconds, which stands for a time after
// the end of the trace. Sums and differences of numbers up to this bound are finite.
constexpr double kMaxNumber = 1e19;
}  // namespace

const char* reason_code(RejectReason reason) {
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
    static_assert(std::size(kCodes) == static_cast<size_t>(RejectReason::Count));
    return kCodes[static_cast<size_t>(reason)];
}

CsvRow::CsvRow() { csv_init(&parser_, CSV_STRICT | CSV_STRICT_FINI); }
CsvRow::~CsvRow() { csv_free(&parser_); }

void CsvRow::on_field(void* data, size_t size, void* row) {
    auto& self = *static_cast<CsvRow*>(row);
    self.text_.append(static_cast<const char*>(data), size);
    self.field_ends_.push_back(self.text_.size());
}

void CsvRow::on_row(int, void* row) { ++static_cast<CsvRow*>(row)->rows_; }

bool CsvRow::parse(std::string_view text) {
    text_.clear();
    field_ends_.clear();
    rows_ = 0;
    bool valid =
        csv_parse(&parser_, text.data(), text.size(), on_field, on_row, this) == text.size() &&
        csv_fini(&parser_, on_field, on_row, this) == 0 && rows_ == 1;
    if (!valid) {  // after an error, libcsv keeps its state in the middle of a row
        csv_free(&parser_);
        csv_init(&parser_, CSV_STRICT | CSV_STRICT_FINI);
    }
    return valid;
}

size_t split_at_blanks(std::string_view text, std::string_view* out, size_t max_fields) {
    size_t count = 0;
    for (size_t i = 0;;) {
        while (i < text.size() && (text[i] == ' ' || text[i] == '\t')) ++i;
        if (i == text.size()) return count;
        size_t begin = i;
        while (i < text.size() && text[i] != ' ' && text[i] != '\t') ++i;
        if (count < max_fields) out[count] = text.substr(begin, i - begin);
        ++count;
    }
}

void FieldParser::reject(RejectReason reason, std::string message) {
    if (ok()) rejection_ = {reason, std::move(message)};
}

double FieldParser::number(std::string_view text, const char* name, bool required) {
    if (text.empty()) {
        if (required) reject(RejectReason::EmptyField, std::string(name) + " is empty");
        return kUnknown;
    }
    // Most numbers are short integers, which are faster to parse as integers.
    constexpr size_t kMaxExactDigits = 15;  // a double represents such integers exactly
    if (text.size() <= kMaxExactDigits) {
        int64_t integer_value = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), integer_value);
        if (ec == std::errc() && end == text.data() + text.size())
            return static_cast<double>(integer_value);
    }
    double value = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size() || !(std::abs(value) <= kMaxNumber)) {
        reject(RejectReason::BadNumber,
               std::string(name) + " is not a number in the supported range");
        return kUnknown;
    }
    return value;
}

double FieldParser::non_negative(std::string_view text, const char* name, bool required) {
    double value = number(text, name, required);
    if (value < 0) reject(RejectReason::Negative, std::string(name) + " is negative");
    return value;
}

int64_t FieldParser::integer(std::string_view text, const char* name, bool required) {
    if (text.empty()) {
        if (required) reject(RejectReason::EmptyField, std::string(name) + " is empty");
        return kUnknownInteger;
    }
    int64_t value = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size())
        reject(RejectReason::BadNumber,
               std::string(name) + " is not an integer in the supported range");
    else if (value < 0)
        reject(RejectReason::Negative, std::string(name) + " is negative");
    return value;
}

std::string FieldParser::key(std::string_view text, const char* name) {
    if (text.empty()) reject(RejectReason::EmptyField, std::string(name) + " is empty");
    return std::string(text);
}

std::string FieldParser::numeric_key(std::string_view text, const char* name) {
    auto value = integer(text, name, true);
    return ok() ? std::to_string(value) : std::string();
}

}  // namespace weirmill::traces
