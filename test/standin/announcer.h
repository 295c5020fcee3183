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

/// Announces a target to one entry after another: to the same one while it answers, to the next
/// when it does not.
class Announcer
{
public:
    struct Hooks
    {
        std::function<guavavalve::Announcement()> describe;
        /// The controller's answer, and when the announcement that it answers was sent.
        std::function<void(const guavavalve::Announcement &sent, guavavalve::Instant sentAt,
                           const guavavalve::AnnouncementReply &reply)>
            answered;
        std::function<bool()> paused; ///< as a frozen target is
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
