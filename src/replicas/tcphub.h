#pragma once

#include "replicas/messenger.h"
#include "replicas/tcpconnection.h"
#include "replicas/tcppeer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace guavavalve::internal {

/// Implements TcpMessenger: owns the listener, the outgoing peers and the accepted connections.
class TcpHub : public std::enable_shared_from_this<TcpHub>
{
public:
    explicit TcpHub(MessengerOptions options);
    ~TcpHub();
    TcpHub(const TcpHub &) = delete;
    TcpHub &operator=(const TcpHub &) = delete;

    Result<void> start();
    void stop();
    std::uint16_t port() const { return this->boundPort; }
    MessengerCounters counters() const { return this->atomicCounters->load(); }
    void handle(Method method, Messenger::Handler handler);
    void call(const std::string &address, Method method, std::string payload, Instant deadline,
              Done<std::string> done);
    std::optional<Instant> lastHeard(const std::string &address) const;

private:
    using Tcp = boost::asio::ip::tcp;
    struct Inbound;
    class Reply;

    void run();
    void accept();
    void acceptLater();
    bool ensureRoom();
    void onAccepted(Tcp::socket socket);
    void serve(const std::shared_ptr<Inbound> &inbound, WireFrame frame);
    std::shared_ptr<TcpPeer> peerAt(const std::string &address);

    std::shared_ptr<const MessengerOptions> options;
    std::shared_ptr<AtomicCounters> atomicCounters;
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    Tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
    std::uint16_t boundPort = 0;
    std::map<Method, Messenger::Handler> handlers; ///< not changed after start()
    std::vector<std::thread> threads;

    mutable std::mutex mutex;
    bool isRunning = false;
    std::map<std::string, std::shared_ptr<TcpPeer>> peers;
    std::map<std::uint64_t, std::shared_ptr<Inbound>> inbound;
    std::uint64_t lastInbound = 0;
};

} // namespace guavavalve::internal
