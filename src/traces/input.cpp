#include "traces/input.h"

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

constexpr size_t kChunk = 256 * 1024;

// What a descriptor holds, after the bytes that were read from it to tell its format.
class Descriptor : public io::source {
  public:
    Descriptor(int fd, std::string first) : fd_(fd), first_(std::move(first)) {}
    std::streamsize read(char* to, std::streamsize most) {
        if (at_ < first_.size()) {
            auto n = std::min<size_t>(first_.size() - at_, static_cast<size_t>(most));
            std::memcpy(to, first_.data() + at_, n);
            at_ += n;
            return static_cast<std::streamsize>(n);
        }
        ssize_t n;
        do n = ::read(fd_, to, static_cast<size_t>(most));
        while (n < 0 && errno == EINTR);
        if (n < 0) throw Unreadable(std::strerror(errno));
        return n == 0 ? -1 : n;
    }

  private:
    int fd_;
    std::string first_;
    size_t at_ = 0;
};

// Boost's own filter takes a cut zstd stream for a whole one.
class Zstd : public io::multichar_input_filter {
  public:
    Zstd()
        : state_(ZSTD_createDStream(), ZSTD_freeDStream),
          in_(std::make_shared<std::vector<char>>(kChunk)) {}
    template <class Source>
    std::streamsize read(Source& from, char* to, std::streamsize most) {
        ZSTD_outBuffer out{to, static_cast<size_t>(most), 0};
        while (out.pos == 0) {
            if (at_ == end_ && !drained_) {
                auto n = io::read(from, in_->data(), static_cast<std::streamsize>(kChunk));
                at_ = 0;
                end_ = n > 0 ? static_cast<size_t>(n) : 0;
                drained_ = n <= 0;
            }
            if (drained_ && at_ == end_ && !inside_) return -1;
            ZSTD_inBuffer in{in_->data(), end_, at_};
            auto left = ZSTD_decompressStream(state_.get(), &out, &in);
            if (ZSTD_isError(left))
                throw Unreadable(std::string("zstd: ") + ZSTD_getErrorName(left));
            bool moved = in.pos != at_ || out.pos > 0;
            at_ = in.pos;
            inside_ = left != 0;
            if (drained_ && !moved && inside_) throw Unreadable("zstd: the stream is cut");
        }
        return static_cast<std::streamsize>(out.pos);
    }

  private:
    std::shared_ptr<ZSTD_DStream> state_;
    std::shared_ptr<std::vector<char>> in_;
    size_t at_ = 0, end_ = 0;
    bool drained_ = false, inside_ = false;
};

bool starts(const std::string& bytes, std::string_view magic) {
    return bytes.compare(0, magic.size(), magic) == 0;
}

}  // namespace

LineSource::LineSource(const std::string& path)
    : name_(path == "-" ? "(standard input)" : path), buffer_(kChunk) {
    fd_ = path == "-" ? ::dup(STDIN_FILENO) : ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd_ < 0) throw Unreadable(name_ + ": " + std::strerror(errno));
    std::string first;
    char bytes[8];
    while (first.size() < 6) {
        auto n = ::read(fd_, bytes, 6 - first.size());
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) {
            auto why = name_ + ": " + std::strerror(errno);
            ::close(fd_);
            throw Unreadable(why);
        }
        if (n == 0) break;
        first.append(bytes, static_cast<size_t>(n));
    }
    if (starts(first, "\x1f\x8b"))
        stream_.push(io::gzip_decompressor());
    else if (starts(first, std::string_view("\xfd"
                                            "7zXZ\0",
                                            6)))
        stream_.push(io::lzma_decompressor());
    else if (starts(first, "\x28\xb5\x2f\xfd"))
        stream_.push(Zstd());
    stream_.push(Descriptor(fd_, std::move(first)));
}

LineSource::~LineSource() {
    try {
        stream_.reset();
    } catch (const std::exception&) {  // closing tells again what reading has told
    }
    ::close(fd_);
}

bool LineSource::refill() {
    if (over_) return false;
    at_ = end_ = 0;
    try {
        auto n = io::read(stream_, buffer_.data(), static_cast<std::streamsize>(buffer_.size()));
        if (n > 0) end_ = static_cast<size_t>(n);
    } catch (const std::exception& e) {
        broken_ = name_ + ": " + e.what();
    }
    over_ = end_ == 0;
    return !over_;
}

bool LineSource::next(Line& line) {
    line = {};
    held_.clear();
    bool any = false;
    for (;;) {
        if (at_ == end_ && !refill()) {
            if (!any) return false;
            line.cut = !broken_.empty();
            break;
        }
        any = true;
        auto* from = buffer_.data() + at_;
        auto* lf = static_cast<char*>(std::memchr(from, '\n', end_ - at_));
        size_t n = lf ? static_cast<size_t>(lf - from) : end_ - at_;
        at_ += n + (lf ? 1 : 0);
        if (lf && held_.empty() && n <= kLongestLine) {
            line.text = {from, n};
            line.number = ++number_;
            if (!line.text.empty() && line.text.back() == '\r') line.text.remove_suffix(1);
            return true;
        }
        auto room = kLongestLine - held_.size();
        if (n > room) line.too_long = true;
        held_.append(from, std::min(n, room));
        if (lf) break;
    }
    line.number = ++number_;
    line.text = held_;
    if (!line.text.empty() && line.text.back() == '\r') line.text.remove_suffix(1);
    return true;
}

}  // namespace weirmill::traces
