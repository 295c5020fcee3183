#pragma once

#include "core/done.h"
#include "replicas/messenger.h"
#include "replicas/tcpconnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve::internal {

/// The calls to one address and the connection that carries them. Everything runs on the strand.
class TcpPeer : public std::enable_shared_from_this<TcpPeer>
{
public:
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    TcpPeer(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint endpoint,
            std::shared_ptr<const MessengerOptions> options,
            std::shared_ptr<AtomicCounters> counters);

    const Strand &executor() const { return this->strand; }
    void call(Method method, std::string payload, Instant deadline, Done<std::string> done);
    /// When the last frame arrived on the open connection; none if there is none. Thread-safe.
    std::optional<Instant> lastHeard() const;
    /// Fails every pending call. Must run on the strand, or once no thread runs it any more.
    void stop();

private:
    struct PendingCall
    {
        WireFrame frame; ///< its payload is released once sent
        bool isSent = false;
        Instant deadline;
        Done<std::string> done;
    };

    void connect();
    void onConnected(boost::system::error_code error);
    void onConnectFailed();
    void onReady();
    void sendCall(std::uint64_t id, PendingCall &pending);
    void onFrame(WireFrame frame);
    void onClosed(const std::vector<std::uint64_t> &unsent);
    void finish(std::uint64_t id, Result<std::string> outcome);
    void scheduleSweep();
    void sweep();

    Strand strand;
    boost::asio::ip::tcp::endpoint endpoint;
    std::shared_ptr<const MessengerOptions> options;
    std::shared_ptr<AtomicCounters> counters;
    boost::asio::steady_timer sweepTimer;
    boost::asio::steady_timer connectTimer;
    std::unique_ptr<TcpConnection::Socket> connecting;
    std::shared_ptr<TcpConnection> connection;
    bool isReady = false;
    bool isSweeping = false;
    bool isStopped = false;
    Milliseconds backoff;
    Instant retryAt{};
    /// Of the last frame on the open connection, as microseconds of an Instant; 0: not open.
    std::atomic<std::int64_t> heardAt{0};
    std::uint64_t lastCallId = 0;
    std::size_t unsentBytes = 0;
    std::map<std::uint64_t, PendingCall> calls;
    std::set<std::pair<Instant, std::uint64_t>> deadlines;
};

} // namespace guavavalve::internal
