#include "runtime/httpinput.h"

#include <algorithm>

namespace guavavalve::internal {

namespace {

/// A read takes what has arrived, up to this many bytes.
constexpr std::size_t maxReadBytes = std::size_t{16} << 10U;
/// Enough for the header and body of most requests.
constexpr std::size_t minReadBytes = 512;
/// Memory that a connection keeps between two messages.
constexpr std::size_t keptBytes = std::size_t{4} << 10U;

} // namespace

HttpInput::HttpInput(std::size_t maxFraming)
    : maxFraming(maxFraming)
    , buffer(maxFraming + maxReadBytes)
{}

boost::asio::mutable_buffer HttpInput::space()
{
    const std::size_t unused = this->buffer.capacity() - this->buffer.size();
    return this->buffer.prepare(std::clamp(unused, minReadBytes, maxReadBytes));
}

void HttpInput::discard()
{
    this->buffer.consume(this->buffer.size());
    this->buffer.shrink_to_fit();
}

void HttpInput::beginMessage()
{
    this->headerInput = 0;
    this->headerLines = 0;
    this->bodyInput = 0;
    if (this->isEmpty() && this->capacity() > keptBytes)
        this->buffer.shrink_to_fit();
}

} // namespace guavavalve::internal
