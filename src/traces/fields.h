// Fields of a record: rows of CSV (libcsv) or words, and checked numbers in them.
#pragma once
#include <csv.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "traces/event.h"

namespace weirmill::traces {

// One row, parsed by libcsv: quotes and commas in them as RFC 4180 says.
class CsvRow {
  public:
    CsvRow();
    ~CsvRow();
    CsvRow(const CsvRow&) = delete;
    CsvRow& operator=(const CsvRow&) = delete;
    // False: not a sound row.
    bool parse(std::string_view text);
    size_t size() const { return ends_.size(); }
    std::string_view operator[](size_t i) const {
        size_t from = i ? ends_[i - 1] : 0;
        return std::string_view(text_).substr(from, ends_[i] - from);
    }

  private:
    static void field(void* data, size_t n, void* row);
    static void end(int, void* row);
    csv_parser parser_;
    std::string text_;
    std::vector<size_t> ends_;
    int rows_ = 0;
};

// Fields separated by blanks, at most `most` of them; the count that there are.
size_t words(std::string_view text, std::string_view* out, size_t most);

// Reads numbers into a refusal that names the first bad field.
class Fields {
  public:
    explicit Fields(Refusal& refusal) : refusal_(refusal) {}
    // A finite number; an empty field is NaN unless `needed`.
    double number(std::string_view text, const char* name, bool needed = false);
    // The same, refused if negative.
    double amount(std::string_view text, const char* name, bool needed = false);
    int64_t integer(std::string_view text, const char* name, bool needed = false);
    // A key: not empty.
    std::string key(std::string_view text, const char* name);
    // A key that is a number below 2^63.
    std::string numeric_key(std::string_view text, const char* name);
    void refuse(Reason reason, std::string why);
    bool ok() const { return refusal_.reason == Reason::None; }

  private:
    Refusal& refusal_;
};

}  // namespace weirmill::traces
