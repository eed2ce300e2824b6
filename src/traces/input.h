// Lines of a trace's files.
//
// Owns: an open file (or standard input), its decompression and the line being read. Memory is
// bounded by kLongestLine, whatever the file holds.
#pragma once
#include <boost/iostreams/filtering_streambuf.hpp>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace weirmill::traces {

// An input that can't be opened, or whose compressed form is damaged or cut.
struct Unreadable : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline constexpr size_t kLongestLine = 1 << 20;  // bytes; longer ones are told as such

struct Line {
    std::string_view text;  // without its end (LF or CRLF); valid until the next call
    uint64_t number = 0;    // from 1
    uint64_t element = 0;   // of an array, from 1; 0: lines are no array's elements
    bool too_long = false;  // text holds its first kLongestLine bytes
    bool cut = false;       // the input broke off in it
};

class LineSource {
  public:
    // `path`: a file, or "-" for standard input: plain, gzip, xz or zstd, told by its first bytes.
    // Throws Unreadable.
    explicit LineSource(const std::string& path);
    ~LineSource();
    // The next line; false: there is none. Should the input be damaged, what was read of the last
    // line is told as cut, and the call after it returns false with broken() set.
    bool next(Line& line);
    const std::string& name() const { return name_; }
    // Why reading ended early; empty: it did not.
    const std::string& broken() const { return broken_; }

  private:
    bool refill();

    std::string name_, broken_;
    int fd_ = -1;
    boost::iostreams::filtering_streambuf<boost::iostreams::input> stream_;
    std::vector<char> buffer_;
    size_t at_ = 0, end_ = 0;
    bool over_ = false;
    std::string held_;  // a line that spans buffers
    uint64_t number_ = 0;
};

}  // namespace weirmill::traces
