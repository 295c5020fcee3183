#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace scenarios {

/// Forwards TCP connections to one local port and injects network faults into them.
class Forwarder
{
public:
    explicit Forwarder(std::uint16_t targetPort);
    ~Forwarder();

    std::uint16_t port() const;

    /// Closes the open connections and, until heal(), each new one at once.
    void cut();
    /// Permanently discards every byte on the open connections; new connections work.
    void silence();
    /// On the open connections, permanently delivers requests but discards the target's replies;
    /// new connections work.
    void silenceReplies();
    /// Buffers what is sent to the target on the open connections and on those opened until heal().
    /// release() delivers it, even if the sender has disconnected meanwhile.
    void hold();
    void release();
    void heal();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace scenarios
