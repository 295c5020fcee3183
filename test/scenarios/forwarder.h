#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace scenarios {

/// Forwards TCP connections to one port, so that a story can cut and silence them.
class Forwarder
{
public:
    explicit Forwarder(std::uint16_t targetPort);
    ~Forwarder();

    std::uint16_t port() const;

    /// Closes the connections that are open and refuses new ones, until heal().
    void cut();
    /// Swallows every byte of the connections that are open, for good; new ones work.
    void silence();
    /// Delivers what is sent to the target and swallows what it sends back, of the connections
    /// that are open, for good; new ones work.
    void silenceReplies();
    /// Keeps back what is sent to the target in connections that are open or opened until heal();
    /// what was kept back arrives at release(), also if its sender has gone since.
    void hold();
    void release();
    void heal();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace scenarios
