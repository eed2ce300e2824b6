// Reads lines from the files of a trace.
//
// Owns: an open file (or standard input), its decompressor and the current line. Memory is bounded
// by kMaxLineBytes, whatever the file contains.
#pragma once
#include <boost/iostreams/filtering_streambuf.hpp>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace weirmill::traces {

// A file can't be opened, read or written, or its content is damaged or truncated.
struct FileError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline constexpr size_t kMaxLineBytes = 1 << 20;  // longer lines are marked `too_long`

struct Line {
    std::string_view text;   // without the line end (LF or CRLF); valid until the next call
    uint64_t number = 0;     // from 1
    uint64_t element = 0;    // number in a JSON array, from 1; 0: the line is not such an element
    bool too_long = false;   // text holds only its first kMaxLineBytes bytes
    bool truncated = false;  // the input ends within the line
};

class LineSource {
  public:
    // Opens `path`, or standard input if `path` is "-". The content is plain or compressed by gzip,
    // xz or zstd, which is detected from its first bytes. Throws FileError.
    explicit LineSource(const std::string& path);
    ~LineSource();
    // Reads the next line. Returns false if there is none. If the input is damaged, the part of the
    // last line that could be read is returned as truncated, and the next call returns false with
    // error() set.
    bool next(Line& line);
    const std::string& name() const { return name_; }
    // Returns why reading ended early, or an empty text if it did not.
    const std::string& error() const { return error_; }

  private:
    bool refill();

    std::string name_, error_;
    int fd_ = -1;
    boost::iostreams::filtering_streambuf<boost::iostreams::input> stream_;
    std::vector<char> buffer_;
    size_t buffer_pos_ = 0, buffer_end_ = 0;
    bool at_end_ = false;
    std::string partial_line_;  // start of a line that spans several buffers
    uint64_t line_number_ = 0;
};

}  // namespace weirmill::traces
