#pragma once

#include "callers/calleridentity.h"
#include "core/clock.h"
#include "core/ids.h"

#include <cstddef>
#include <memory>

namespace guavavalve {

class ControllerClient;
class Dispatcher;
class HttpServer;
class TargetClient;
class TimerQueue;

struct CallerServiceOptions
{
    InstanceId entry; ///< this instance
    Milliseconds longestWait{600 * 1000}; ///< of a waiting call without a deadline
    Milliseconds controllerTimeout{5000}; ///< of one call to the controller
    std::size_t maxOpenPerKey = 1024; ///< requests of one key open at once at this entry
};

/// What the callers' interface counts.
struct CallerCounters
{
    std::size_t accepted = 0;
    std::size_t joined = 0;
    std::size_t answered = 0;
    std::size_t refused = 0; ///< ran: no
    std::size_t failed = 0; ///< ran: yes
    std::size_t unknown = 0; ///< ran: unknown
};

/// The callers' interface over HTTP (docs/callers.md): submit and wait or poll, status, answer,
/// cancel.
class CallerService
{
public:
    struct Dependencies
    {
        HttpServer &server;
        ControllerClient &controller;
        Dispatcher &dispatcher;
        TargetClient &targets;
        TimerQueue &timers;
    };

    /// Registers its routes with the server. The dependencies outlive this and its last reply.
    CallerService(Dependencies dependencies, KeyCheck keyCheck, CallerServiceOptions options);
    ~CallerService();

    CallerCounters counters() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace guavavalve
