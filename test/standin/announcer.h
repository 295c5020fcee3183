#pragma once

#include "controller/announcement.h"
#include "core/clock.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace guavavalve {
class TimerQueue;
}

namespace standin {

/// Announces a target periodically. Stays with one entry while that entry answers and moves on to
/// the next one when it does not.
class Announcer
{
public:
    struct Hooks
    {
        std::function<guavavalve::Announcement()> describe; ///< the announcement to send
        /// Called with the controller's reply and the time at which its announcement was sent.
        std::function<void(const guavavalve::Announcement &sent, guavavalve::Instant sentAt,
                           const guavavalve::AnnouncementReply &reply)>
            onReply;
        std::function<bool()> isPaused; ///< true: skips announcements, like a frozen process
    };

    Announcer(guavavalve::TimerQueue &timers, std::vector<std::string> entries,
              guavavalve::Milliseconds interval, Hooks hooks);
    ~Announcer();

    void start();
    void stop();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace standin
