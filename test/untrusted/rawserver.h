#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace guavavalve::untrusted {

/// A server that answers each request, without reading it, with a response that has no end.
class RawServer
{
public:
    RawServer(const std::string &ip, int port, std::string head, std::string repeated,
              std::size_t bytes);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    /// Connections on which everything was sent, or that the client has closed.
    std::size_t finished() const { return this->finishedConnections; }

private:
    void serve();

    const std::string head;
    const std::string repeated;
    const std::size_t bytes; ///< sent on each connection
    int listener = -1;
    std::atomic<std::size_t> finishedConnections{0};
    std::atomic<bool> isClosing{false};
    std::thread thread;
};

} // namespace guavavalve::untrusted
