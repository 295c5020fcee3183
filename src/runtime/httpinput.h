#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace guavavalve::internal {

/// The bytes of a connection on their way to an HTTP parser. Bounds what the parser does not: a
/// header as a whole, and the framing of a chunked body (sizes and extensions of chunks, trailers).
///
/// Guards against peers that send either without an end: the parser's limit on headers is for the
/// lines that it has not parsed yet, and it has none for framing, which it does not keep but waits
/// to be complete while the buffer grows.
class HttpInput
{
public:
    /// \a maxFraming: bytes of a header, and separately of the framing of a body without content.
    explicit HttpInput(std::size_t maxFraming);

    /// Where the next bytes are to be received.
    boost::asio::mutable_buffer space();
    void received(std::size_t bytes) { this->buffer.commit(bytes); }
    bool isEmpty() const { return this->buffer.size() == 0; }
    /// What has been received and not been parsed yet.
    boost::asio::const_buffer pending() const { return this->buffer.cdata(); }
    void skip(std::size_t bytes) { this->buffer.consume(bytes); }
    /// Bytes of memory in use.
    std::size_t capacity() const { return this->buffer.capacity(); }
    /// Bytes of memory that the fields of the message take, in \a parser and with whoever handles
    /// them.
    template<typename Parser>
    std::size_t fieldBytes(const Parser &parser) const;

    /// Releases all memory; nothing is read through it afterwards.
    void discard();
    /// Begins a message. Releases the memory that only a large one needs.
    void beginMessage();
    /// Passes on to \a parser what it can use, up to the end of the header if that was not
    /// complete. \returns the error of the parser, or header_limit if the framing exceeds its
    /// limit.
    template<typename Parser>
    boost::system::error_code parse(Parser &parser);
    /// The peer has closed the connection.
    /// \returns end_of_stream before the message has begun, and the error of the parser if the
    /// message is not complete.
    template<typename Parser>
    static boost::system::error_code finish(Parser &parser);

private:
    /// Bytes that a chunked body ends with at least, "0 CRLF CRLF". The parser asserts that the
    /// line of the last chunk does not arrive without them.
    static constexpr std::size_t shortestChunkedRest = 5;

    template<typename Parser>
    bool exceedsFraming(const Parser &parser) const;

    const std::size_t maxFraming;
    boost::beast::flat_buffer buffer;
    std::size_t headerInput = 0; ///< bytes of the header that were parsed
    std::size_t headerLines = 0; ///< of these bytes
    std::size_t bodyInput = 0; ///< bytes of the message after its header
};

template<typename Parser>
boost::system::error_code HttpInput::parse(Parser &parser)
{
    namespace http = boost::beast::http;
    boost::system::error_code error;
    while (!this->isEmpty() && !parser.is_done()) {
        const bool isBody = parser.is_header_done();
        if (isBody && parser.chunked() && this->buffer.size() < shortestChunkedRest)
            break;
        const auto *bytes = static_cast<const char *>(this->buffer.cdata().data());
        const std::size_t used = parser.put(this->buffer.data(), error);
        if (!isBody)
            this->headerLines += static_cast<std::size_t>(std::count(bytes, bytes + used, '\n'));
        this->buffer.consume(used);
        if (error == http::error::need_more)
            error = {};
        (isBody ? this->bodyInput : this->headerInput) += used;
        if (error || parser.is_header_done() != isBody)
            return error;
        if (used == 0)
            break;
    }
    if (this->exceedsFraming(parser))
        error = http::error::header_limit;
    return error;
}

template<typename Parser>
boost::system::error_code HttpInput::finish(Parser &parser)
{
    boost::system::error_code error = boost::beast::http::error::end_of_stream;
    if (parser.got_some())
        parser.put_eof(error);
    return error;
}

/// Guards against lines of a few bytes: what is kept of each takes far more.
template<typename Parser>
std::size_t HttpInput::fieldBytes(const Parser &parser) const
{
    constexpr std::size_t bytesOfField = 200; // without its text
    constexpr std::size_t copiesOfText = 2;
    std::size_t fields = this->headerLines;
    if (parser.is_done()) // trailers are fields as well
        fields = static_cast<std::size_t>(std::distance(parser.get().begin(), parser.get().end()));
    return fields * bytesOfField + this->headerInput * copiesOfText;
}

/// The framing of a body may take several times the body, since chunks may be of one byte.
template<typename Parser>
bool HttpInput::exceedsFraming(const Parser &parser) const
{
    constexpr std::size_t framingOfByte = 16; // of a chunk of one byte, its size padded with zeros
    if (parser.is_done())
        return false; // what is pending is of the next message
    // The parser's own limit on headers is for the lines that it has not parsed yet.
    if (!parser.is_header_done())
        return this->headerInput + this->buffer.size() > this->maxFraming;
    const std::size_t body = parser.get().body().size();
    return this->buffer.size() > this->maxFraming
        || this->bodyInput > body + body * framingOfByte + this->maxFraming;
}

} // namespace guavavalve::internal
