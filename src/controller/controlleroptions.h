#pragma once

#include "controller/dispatchorder.h"
#include "core/clock.h"
#include "core/done.h"
#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace guavavalve {

class Scheduler;

/// Options and dependencies of a CellController.
struct ControllerOptions
{
    std::uint8_t shard = 0;
    Clock clock = monotonicNow;
    /// Milliseconds since the epoch by the machine's wall clock, for reports, retention and
    /// deadlines that outlive a controller. No safety property depends on it.
    std::function<std::int64_t()> cellTime;
    std::function<std::unique_ptr<Scheduler>()> makeScheduler;
    /// Sends orders to the entry at an address and reports when the entry has received them.
    std::function<void(const std::string &address, std::vector<DispatchOrder>, Done<Nothing>)>
        sendOrders;
    /// Called once for each finished job with the time from its acceptance to its first
    /// placement, for metrics.
    std::function<void(const std::string &team, std::uint8_t workClass, double waitedSeconds)>
        observeWait;

    /// An entry without a heartbeat for this long is considered dead.
    Milliseconds entryTimeout{2000};
    /// How long an entry may serve requests without a new sync.
    Milliseconds configurationLease{2000};
    /// A target without an announcement for this long gets no new tasks.
    Milliseconds targetUnresponsiveAfter{3000};
    /// Interval between resends of an unacknowledged order.
    Milliseconds orderRetry{1000};
    /// How long a finished job is kept.
    Milliseconds finishedRetention{600000};
    /// Number of finished jobs above which the oldest are removed.
    std::size_t maxFinishedJobs = 100000;
    /// Capacity of the event queue; requests beyond it are refused.
    std::size_t maxWaitingEvents = 100000;
};

} // namespace guavavalve
