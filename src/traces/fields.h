// Splits a record into fields, either as a CSV row (libcsv) or at blanks, and parses numbers in
// them with validation.
#pragma once
#include <csv.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "traces/event.h"

namespace weirmill::traces {

// One CSV row with quoting according to RFC 4180, parsed by libcsv.
class CsvRow {
  public:
    CsvRow();
    ~CsvRow();
    CsvRow(const CsvRow&) = delete;
    CsvRow& operator=(const CsvRow&) = delete;
    // Returns false if the text is not exactly one valid row.
    bool parse(std::string_view text);
    size_t size() const { return field_ends_.size(); }
    std::string_view operator[](size_t i) const {
        size_t begin = i ? field_ends_[i - 1] : 0;
        return std::string_view(text_).substr(begin, field_ends_[i] - begin);
    }

  private:
    static void on_field(void* data, size_t size, void* row);
    static void on_row(int, void* row);
    csv_parser parser_;
    std::string text_;  // the fields without quotes, one after the other
    std::vector<size_t> field_ends_;
    int rows_ = 0;
};

// Splits the text at spaces and tabs and stores the first `max_fields` fields in `out`. Returns the
// number of all fields.
size_t split_at_blanks(std::string_view text, std::string_view* out, size_t max_fields);

// Parses the fields of one record. The first invalid field sets the rejection, whose message names
// that field.
class FieldParser {
  public:
    explicit FieldParser(Rejection& rejection) : rejection_(rejection) {}
    // Returns a finite number. An empty field is NaN, or rejected if it is `required`.
    double number(std::string_view text, const char* name, bool required = false);
    // Like number(), but rejects negative numbers.
    double non_negative(std::string_view text, const char* name, bool required = false);
    int64_t integer(std::string_view text, const char* name, bool required = false);
    // Returns a key, which must not be empty.
    std::string key(std::string_view text, const char* name);
    // Returns a key that must be an integer below 2^63.
    std::string numeric_key(std::string_view text, const char* name);
    void reject(RejectReason reason, std::string message);
    bool ok() const { return rejection_.reason == RejectReason::None; }

  private:
    Rejection& rejection_;
};

}  // namespace weirmill::traces
