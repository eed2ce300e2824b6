#include "traces/line_source.h"

#include <fcntl.h>
#include <unistd.h>
#include <zstd.h>

#include <algorithm>
#include <boost/iostreams/categories.hpp>
#include <boost/iostreams/concepts.hpp>
#include <boost/iostreams/filter/gzip.hpp>
#include <boost/iostreams/filter/lzma.hpp>
#include <boost/iostreams/operations.hpp>
#include <boost/iostreams/read.hpp>
#include <cerrno>
#include <cstring>

namespace weirmill::traces {
namespace io = boost::iostreams;

namespace {

constexpr size_t kBufferBytes = 256 * 1024;

// Reads the bytes that were already read to detect the format (the prefix), then those that are
// left in the file descriptor. Does not close the descriptor.
class DescriptorSource : public io::source {
  public:
    DescriptorSource(int fd, std::string prefix) : fd_(fd), prefix_(std::move(prefix)) {}
    std::streamsize read(char* to, std::streamsize max_bytes) {
        if (prefix_pos_ < prefix_.size()) {
            auto size =
                std::min<size_t>(prefix_.size() - prefix_pos_, static_cast<size_t>(max_bytes));
            std::memcpy(to, prefix_.data() + prefix_pos_, size);
            prefix_pos_ += size;
            return static_cast<std::streamsize>(size);
        }
        ssize_t size;
        do size = ::read(fd_, to, static_cast<size_t>(max_bytes));
        while (size < 0 && errno == EINTR);
        if (size < 0) throw FileError(std::strerror(errno));
        return size == 0 ? -1 : size;
    }

  private:
    int fd_;
    std::string prefix_;
    size_t prefix_pos_ = 0;
};

// Decompresses zstd. Boost's own filter is not used because it accepts a truncated stream as
// complete.
class ZstdDecompressor : public io::multichar_input_filter {
  public:
    ZstdDecompressor()
        : state_(ZSTD_createDStream(), ZSTD_freeDStream),
          input_(std::make_shared<std::vector<char>>(kBufferBytes)) {}
    template <class Source>
    std::streamsize read(Source& from, char* to, std::streamsize max_bytes) {
        ZSTD_outBuffer out{to, static_cast<size_t>(max_bytes), 0};
        while (out.pos == 0) {
            if (input_pos_ == input_end_ && !source_ended_) {
                auto size =
                    io::read(from, input_->data(), static_cast<std::streamsize>(kBufferBytes));
                input_pos_ = 0;
                input_end_ = size > 0 ? static_cast<size_t>(size) : 0;
                source_ended_ = size <= 0;
            }
            if (source_ended_ && input_pos_ == input_end_ && !in_frame_) return -1;
            ZSTD_inBuffer in{input_->data(), input_end_, input_pos_};
            auto remaining = ZSTD_decompressStream(state_.get(), &out, &in);
            if (ZSTD_isError(remaining))
                throw FileError(std::string("zstd: ") + ZSTD_getErrorName(remaining));
            bool progressed = in.pos != input_pos_ || out.pos > 0;
            input_pos_ = in.pos;
            in_frame_ = remaining != 0;
            if (source_ended_ && !progressed && in_frame_)
                throw FileError("zstd: the stream is truncated");
        }
        return static_cast<std::streamsize>(out.pos);
    }

  private:
    std::shared_ptr<ZSTD_DStream> state_;
    std::shared_ptr<std::vector<char>> input_;
    size_t input_pos_ = 0, input_end_ = 0;
    bool source_ended_ = false, in_frame_ = false;
};

bool starts_with_magic(const std::string& bytes, std::string_view magic) {
    return bytes.compare(0, magic.size(), magic) == 0;
}

}  // namespace

LineSource::LineSource(const std::string& path)
    : name_(path == "-" ? "(standard input)" : path), buffer_(kBufferBytes) {
    fd_ = path == "-" ? ::dup(STDIN_FILENO) : ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd_ < 0) throw FileError(name_ + ": " + std::strerror(errno));
    std::string prefix;
    char bytes[8];
    while (prefix.size() < 6) {
        auto size = ::read(fd_, bytes, 6 - prefix.size());
        if (size < 0 && errno == EINTR) continue;
        if (size < 0) {
            auto message = name_ + ": " + std::strerror(errno);
            ::close(fd_);
            throw FileError(message);
        }
        if (size == 0) break;
        prefix.append(bytes, static_cast<size_t>(size));
    }
    if (starts_with_magic(prefix, "\x1f\x8b"))
        stream_.push(io::gzip_decompressor());
    else if (starts_with_magic(prefix, std::string_view("\xfd"
                                                        "7zXZ\0",
                                                        6)))
        stream_.push(io::lzma_decompressor());
    else if (starts_with_magic(prefix, "\x28\xb5\x2f\xfd"))
        stream_.push(ZstdDecompressor());
    stream_.push(DescriptorSource(fd_, std::move(prefix)));
}

LineSource::~LineSource() {
    try {
        stream_.reset();
    } catch (const std::exception&) {  // reading has already reported it
    }
    ::close(fd_);
}

bool LineSource::refill() {
    if (at_end_) return false;
    buffer_pos_ = buffer_end_ = 0;
    try {
        auto size = io::read(stream_, buffer_.data(), static_cast<std::streamsize>(buffer_.size()));
        if (size > 0) buffer_end_ = static_cast<size_t>(size);
    } catch (const std::exception& e) {
        error_ = name_ + ": " + e.what();
    }
    at_end_ = buffer_end_ == 0;
    return !at_end_;
}

bool LineSource::next(Line& line) {
    line = {};
    partial_line_.clear();
    bool has_text = false;
    for (;;) {
        if (buffer_pos_ == buffer_end_ && !refill()) {
            if (!has_text) return false;
            line.truncated = !error_.empty();
            break;
        }
        has_text = true;
        auto* from = buffer_.data() + buffer_pos_;
        auto* line_end = static_cast<char*>(std::memchr(from, '\n', buffer_end_ - buffer_pos_));
        size_t size = line_end ? static_cast<size_t>(line_end - from) : buffer_end_ - buffer_pos_;
        buffer_pos_ += size + (line_end ? 1 : 0);
        if (line_end && partial_line_.empty() && size <= kMaxLineBytes) {
            line.text = {from, size};
            line.number = ++line_number_;
            if (!line.text.empty() && line.text.back() == '\r') line.text.remove_suffix(1);
            return true;
        }
        auto free_bytes = kMaxLineBytes - partial_line_.size();
        if (size > free_bytes) line.too_long = true;
        partial_line_.append(from, std::min(size, free_bytes));
        if (line_end) break;
    }
    line.number = ++line_number_;
    line.text = partial_line_;
    if (!line.text.empty() && line.text.back() == '\r') line.text.remove_suffix(1);
    return true;
}

}  // namespace weirmill::traces
