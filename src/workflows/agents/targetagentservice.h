#pragma once

#include "core/clock.h"
#include "workflows/sessions/targetport.h"

#include <functional>

namespace guavavalve {
class Messenger;
}

namespace guavavalve::workflows {

/// Carries orders of another instance to targets through this instance's port. Stateless.
class TargetAgentService
{
public:
    /// \a post: runs an action on the port's loop; may be called from any thread.
    TargetAgentService(TargetPort &port, std::function<void(std::function<void()>)> post,
                       Clock clock = monotonicNow);

    /// Registers the handler. Must be called before the messenger starts.
    void serve(Messenger &messenger);

private:
    TargetPort &port;
    std::function<void(std::function<void()>)> post;
    Clock clock;
};

} // namespace guavavalve::workflows
