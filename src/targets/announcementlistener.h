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
    Microseconds batchDelay{5000}; ///< time that the first announcement of a batch waits for more
    std::size_t maxBatch = 256;
    std::size_t maxWaiting = 4096; ///< unanswered announcements, beyond which more are refused
    Milliseconds replyTimeout{2000}; ///< for the controller's reply
};

/// Receives targets' announcements over HTTP and forwards them to the controller in batches. Only
/// the controller grants leases.
class AnnouncementListener
{
public:
    /// Registers its route with \a server. All three must outlive this object and its last reply.
    AnnouncementListener(HttpServer &server, ControllerClient &controller, TimerQueue &timers,
                         AnnouncementListenerOptions options);
    ~AnnouncementListener();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace guavavalve
