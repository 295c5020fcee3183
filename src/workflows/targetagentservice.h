#pragma once

#include "core/clock.h"
#include "workflows/targetport.h"

#include <functional>

namespace guavavalve {
class Messenger;
}

namespace guavavalve::workflows {

/// Carries another instance's orders to targets over this instance's port. Keeps nothing.
class TargetAgentService
{
public:
    /// \a post: onto the port's loop, from any thread.
    TargetAgentService(TargetPort &port, std::function<void(std::function<void()>)> post,
                       Clock clock = monotonicNow);

    /// Before the messenger's start.
    void serve(Messenger &messenger);

private:
    TargetPort &port;
    std::function<void(std::function<void()>)> post;
    Clock clock;
};

} // namespace guavavalve::workflows
