#pragma once

#include "replicas/messenger.h"
#include "replicas/messengercounters.h"
#include "replicas/messengeroptions.h"

#include <cstdint>
#include <memory>

namespace guavavalve {

namespace internal {
class TcpHub;
}

/// Messenger over TCP: one connection from each caller to each peer, over which calls are
/// multiplexed. See docs/design/replication.md for what the frames protect against.
class TcpMessenger : public Messenger
{
public:
    explicit TcpMessenger(MessengerOptions options);
    ~TcpMessenger() override;
    TcpMessenger(const TcpMessenger &) = delete;
    TcpMessenger &operator=(const TcpMessenger &) = delete;

    /// Binds the listen address and starts the threads.
    /// \errors InvalidArgument for invalid options, Unavailable if the address cannot be bound.
    Result<void> start();
    /// Closes all connections; pending calls fail with Unavailable. No handler runs afterwards.
    void stop();
    /// The bound port, once started.
    std::uint16_t port() const;
    MessengerCounters counters() const;

    void handle(Method method, Handler handler) override;
    void call(const std::string &address, Method method, std::string payload, Instant deadline,
              Done<std::string> done) override;
    std::optional<Instant> lastHeard(const std::string &address) const override;

private:
    std::shared_ptr<internal::TcpHub> hub;
};

} // namespace guavavalve
