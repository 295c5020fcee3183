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

/// What a CellController is given.
struct ControllerOptions
{
    std::uint8_t shard = 0;
    Clock clock = monotonicNow;
    /// Milliseconds since the epoch by the machine's calendar clock: for reports, retention and
    /// deadlines that outlive a controller. No rule of safety uses it.
    std::function<std::int64_t()> cellTime;
    std::function<std::unique_ptr<Scheduler>()> makeScheduler;
    /// Sends orders to the entry at an address and tells when it has them.
    std::function<void(const std::string &address, std::vector<DispatchOrder>, Done<Nothing>)>
        sendOrders;
    /// Told after each change of a job that may end someone's waiting; for metrics.
    std::function<void(const std::string &team, std::uint8_t workClass, double waitedSeconds)>
        observeWait;

    Milliseconds entryTimeout{2000}; ///< an entry not heard for so long is taken for dead
    Milliseconds configurationLease{2000}; ///< what an entry may serve by without a new answer
    Milliseconds targetQuietAfter{3000}; ///< a target not heard for so long gets nothing new
    Milliseconds orderRetry{1000}; ///< between sendings of an unacknowledged order
    Milliseconds finishedRetention{600000}; ///< how long a finished job is remembered
    std::size_t maxFinishedJobs = 100000; ///< remembered at once; the oldest are forgotten
    std::size_t maxWaitingEvents = 100000; ///< beyond it requests are refused
};

} // namespace guavavalve
