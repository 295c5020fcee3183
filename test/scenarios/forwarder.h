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
    void heal();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace scenarios
