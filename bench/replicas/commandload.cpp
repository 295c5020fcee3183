#include "commandload.h"

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace guavavalve::bench {

namespace {

/// Collects the outcomes; shared with callbacks, which may run after the measurement has ended.
struct Tally
{
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t underWay = 0;
    LoadResult result;

    void finish(Instant sent, bool isCommitted)
    {
        const auto took = std::chrono::duration<double, std::milli>(monotonicNow() - sent);
        const std::lock_guard lock(this->mutex);
        --this->underWay;
        if (isCommitted) {
            ++this->result.commits;
            this->result.milliseconds.push_back(took.count());
        } else {
            ++this->result.failures;
        }
        this->changed.notify_all();
    }
};

void proposeOne(ReplicatedLog &log, const std::shared_ptr<Tally> &tally, const std::string &command)
{
    {
        const std::lock_guard lock(tally->mutex);
        ++tally->underWay;
    }
    const Instant sent = monotonicNow();
    log.propose(command, [tally, sent](const Result<std::string> &outcome) {
        tally->finish(sent, outcome.has_value());
    });
}

LoadResult collect(const std::shared_ptr<Tally> &tally, Instant began)
{
    std::unique_lock lock(tally->mutex);
    tally->changed.wait_for(lock, std::chrono::seconds(10), [&] { return tally->underWay == 0; });
    LoadResult result = tally->result;
    result.seconds = std::chrono::duration<double>(monotonicNow() - began).count();
    std::sort(result.milliseconds.begin(), result.milliseconds.end());
    return result;
}

} // namespace

double LoadResult::percentile(double fraction) const
{
    if (this->milliseconds.empty())
        return 0.0;
    const auto index =
        static_cast<std::size_t>(fraction * static_cast<double>(this->milliseconds.size()));
    return this->milliseconds[std::min(index, this->milliseconds.size() - 1)];
}

LoadResult runClosedLoad(ReplicatedLog &log, std::size_t waiting, std::size_t bytes,
                         Milliseconds duration)
{
    auto tally = std::make_shared<Tally>();
    const std::string command(bytes, 'c');
    const Instant began = monotonicNow();
    while (monotonicNow() < began + duration) {
        {
            std::unique_lock lock(tally->mutex);
            const bool hasRoom = tally->changed.wait_for(lock, std::chrono::milliseconds(100),
                                                         [&] { return tally->underWay < waiting; });
            if (!hasRoom)
                continue;
        }
        proposeOne(log, tally, command);
    }
    return collect(tally, began);
}

LoadResult runPacedLoad(ReplicatedLog &log, std::size_t perSecond, std::size_t bytes,
                        Milliseconds duration)
{
    auto tally = std::make_shared<Tally>();
    const std::string command(bytes, 'c');
    const Instant began = monotonicNow();
    if (perSecond == 0) {
        std::this_thread::sleep_for(duration);
        return collect(tally, began);
    }
    const Microseconds gap{1000000 / static_cast<std::int64_t>(perSecond)};
    for (Instant next = began; next < began + duration; next += gap) {
        std::this_thread::sleep_until(next);
        proposeOne(log, tally, command);
    }
    return collect(tally, began);
}

} // namespace guavavalve::bench
