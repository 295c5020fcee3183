#pragma once

#include "core/clock.h"
#include "replicas/atomiccounters.h"
#include "replicas/messengeroptions.h"
#include "replicas/securesession.h"
#include "replicas/wireframe.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace guavavalve::internal {

/// One connection: handshake, frames and heartbeats. Everything runs on the socket's strand.
class TcpConnection : public std::enable_shared_from_this<TcpConnection>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    struct Hooks
    {
        std::function<void()> onReady; ///< the peer has proved that it knows the shared secret
        std::function<void(WireFrame frame)> onFrame;
        /// Called when an authentic frame has arrived, heartbeats included; may be empty.
        std::function<void(Instant now)> onHeard;
        /// Called exactly once, when the connection is closed. \a unsent: the ids of the calls that
        /// were not passed to the socket.
        std::function<void(const std::vector<std::uint64_t> &unsent)> onClosed;
    };

    TcpConnection(Socket socket, bool isCaller, std::shared_ptr<const MessengerOptions> options,
                  std::shared_ptr<AtomicCounters> counters, Hooks hooks);

    void start();
    /// Queues \a frame. Returns false, and does not send it, if the connection is not open or the
    /// bounded queue is full.
    bool send(const WireFrame &frame);
    void close();
    Socket::executor_type executor() { return this->socket.get_executor(); }
    const InstanceId &peer() const { return this->session.peer(); }

private:
    struct Queued
    {
        std::string bytes;
        std::uint64_t callId = 0; ///< zero: the frame is not a call
    };

    void readHello();
    void onHello(const std::string &hello);
    void readFrame();
    void readBody(std::uint32_t length);
    void onSealed(const std::string &sealed);
    void enqueue(std::string bytes, std::uint64_t callId);
    void writeNext();
    void scheduleHeartbeat();
    std::uint32_t maxFrameLength() const;

    Socket socket;
    boost::asio::steady_timer timer;
    std::shared_ptr<const MessengerOptions> options;
    std::shared_ptr<AtomicCounters> counters;
    Hooks hooks;
    SecureSession session;
    bool isOpen = true;
    bool isReady = false; ///< an authentic frame has been received
    bool hasKeys = false;
    Instant lastHeard;
    Instant startedAt;
    std::deque<Queued> queue;
    std::size_t queuedBytes = 0;
    std::string writing;
    std::string reading;
    std::uint32_t readingLength = 0;
};

} // namespace guavavalve::internal
