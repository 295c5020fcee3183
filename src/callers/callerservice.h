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
    Milliseconds maxWait{600 * 1000}; ///< for a call that waits without a deadline
    Milliseconds controllerTimeout{5000}; ///< for one call to the controller
    std::size_t maxOpenPerKey = 1024; ///< limit of open requests per key at this entry
};

/// Counters of a CallerService: submissions, and how requests ended.
struct CallerCounters
{
    std::size_t accepted = 0;
    std::size_t joined = 0;
    std::size_t answered = 0;
    std::size_t refused = 0; ///< failures that report "ran": "no"
    std::size_t failed = 0; ///< failures that report "ran": "yes"
    std::size_t unknown = 0; ///< failures that report "ran": "unknown"
};

/// The HTTP interface for callers (docs/callers.md): submits jobs and waits for them, reports
/// their status, returns their answers and cancels them.
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

    /// Registers its routes with the server. The dependencies must outlive this object and its last
    /// reply.
    CallerService(Dependencies dependencies, KeyCheck keyCheck, CallerServiceOptions options);
    ~CallerService();

    CallerCounters counters() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace guavavalve
