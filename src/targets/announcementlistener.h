#pragma once

#include "core/clock.h"

#include <cstddef>
#include <memory>

namespace guavavalve {

class ControllerClient;
class HttpServer;
class TimerQueue;

struct AnnouncementListenerOptions
{
    Microseconds batchDelay{5000}; ///< how long the first of a batch waits for others
    std::size_t maxBatch = 256;
    std::size_t maxWaiting = 4096; ///< further announcements are refused
    Milliseconds replyTimeout{2000}; ///< for the controller's reply
};

/// Takes targets' announcements over HTTP and passes them on to the controller in batches: the
/// lease comes from the controller alone.
class AnnouncementListener
{
public:
    /// Registers its route with \a server; all three outlive this and its last reply.
    AnnouncementListener(HttpServer &server, ControllerClient &controller, TimerQueue &timers,
                         AnnouncementListenerOptions options);
    ~AnnouncementListener();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace guavavalve
