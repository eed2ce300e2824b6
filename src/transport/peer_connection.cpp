#include "transport/peer_connection.h"

#include <capnp/serialize.h>
#include <spdlog/spdlog.h>

#include <array>
#include <utility>

namespace weirmill {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kErrorAsValue = asio::as_tuple(asio::use_awaitable);
constexpr uint32_t kMaxFrameBytes = 160 * 1024;

using FrameHeader = std::array<unsigned char, 4>;

// Decodes the length, which is in little-endian order.
uint32_t frame_size(const FrameHeader& header) {
    return header[0] | header[1] << 8 | header[2] << 16 | static_cast<uint32_t>(header[3]) << 24;
}

// Returns false if the message is malformed.
bool handle_frame(kj::ArrayPtr<const capnp::word> words,
                  const PeerConnection::FrameHandler& on_frame) {
    try {
        capnp::FlatArrayMessageReader reader(words);
        on_frame(reader.getRoot<peer::Frame>());
        return true;
    } catch (const kj::Exception& e) {
        spdlog::error("peer: rejected malformed message: {}", e.getDescription().cStr());
        return false;
    }
}

}  // namespace

PeerConnection::PeerConnection(tcp::socket socket, size_t max_queue_bytes)
    : socket_(std::move(socket)), max_queue_bytes_(max_queue_bytes) {}

void PeerConnection::close() {
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void PeerConnection::send(std::string frame) {
    if (closed_) return;
    if (queue_bytes_ + frame.size() > max_queue_bytes_) {
        spdlog::error("peer: connection closed, write queue is full with {} bytes", queue_bytes_);
        return close();
    }
    queue_bytes_ += frame.size();
    queue_.push_back(std::move(frame));
    if (writing_) return;
    writing_ = true;
    asio::co_spawn(executor(), write_loop(shared_from_this()), asio::detached);
}

asio::awaitable<void> PeerConnection::write_loop(std::shared_ptr<PeerConnection> self) {
    while (!self->queue_.empty() && !self->closed_) {
        const std::string frame = std::move(self->queue_.front());
        self->queue_.pop_front();
        self->queue_bytes_ -= frame.size();
        [[maybe_unused]] auto [ec, bytes_written] =
            co_await asio::async_write(self->socket_, asio::buffer(frame), kErrorAsValue);
        if (ec) self->close();
    }
    self->writing_ = false;
}

asio::awaitable<void> PeerConnection::read_loop(std::shared_ptr<PeerConnection> self,
                                                FrameHandler on_frame) {
    kj::Array<capnp::word> buffer;  // grows to the size of the largest frame
    while (!self->closed_) {
        FrameHeader header{};
        [[maybe_unused]] auto [header_ec, header_bytes] =
            co_await asio::async_read(self->socket_, asio::buffer(header), kErrorAsValue);
        if (header_ec) break;
        const uint32_t size = frame_size(header);
        if (size > kMaxFrameBytes || size % sizeof(capnp::word) != 0) {
            spdlog::error("peer: rejected frame of invalid size, {} bytes", size);
            break;
        }
        const size_t words = size / sizeof(capnp::word);
        if (buffer.size() < words) buffer = kj::heapArray<capnp::word>(words);
        [[maybe_unused]] auto [body_ec, body_bytes] = co_await asio::async_read(
            self->socket_, asio::buffer(static_cast<void*>(buffer.begin()), size), kErrorAsValue);
        if (body_ec) break;
        if (!handle_frame(kj::arrayPtr(buffer.begin(), words), on_frame)) break;
    }
    self->close();
}

}  // namespace weirmill
