#pragma once

#include "core/clock.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace guavavalve::untrusted {

/// A TCP connection that sends whatever it is told to, for one thread.
class RawClient
{
public:
    RawClient(const std::string &ip, int port);
    explicit RawClient(int accepted); ///< takes the socket
    ~RawClient();
    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    bool isConnected() const { return this->socket >= 0; }
    /// False once the peer has closed the connection, or takes no more bytes for some seconds.
    bool send(std::string_view bytes);
    /// Sends \a head, and then \a repeated until \a bytes have been sent or the peer takes no more.
    void sendEndless(std::string_view head, std::string_view repeated, std::size_t bytes);

private:
    int socket = -1;
};

} // namespace guavavalve::untrusted
