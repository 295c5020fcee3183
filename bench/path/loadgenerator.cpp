#include "loadgenerator.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace guavavalve {

namespace {

constexpr Milliseconds drainTimeout{20000};

double milliseconds(Microseconds length)
{
    return static_cast<double>(length.count()) / 1000.0;
}

/// Collects request outcomes. Thread safe.
class Collector
{
public:
    void record(Instant due, RequestOutcome outcome)
    {
        const Instant now = monotonicNow();
        const std::lock_guard lock(this->mutex);
        switch (outcome) {
        case RequestOutcome::Answered:
            this->result.latenciesMs.push_back(milliseconds(now - due));
            ++this->result.answered;
            this->answers.push_back(now);
            break;
        case RequestOutcome::Refused:
            ++this->result.refused;
            break;
        case RequestOutcome::Unknown:
            ++this->result.unknown;
            break;
        }
        ++this->finished;
        this->changed.notify_all();
    }

    void waitFor(std::size_t sent)
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, drainTimeout, [&] { return this->finished >= sent; });
        this->result.sent = sent;
        this->result.unknown += sent - this->finished;
    }

    LoadResult take(Instant began)
    {
        const std::lock_guard lock(this->mutex);
        std::sort(this->answers.begin(), this->answers.end());
        Instant last = began;
        for (const Instant answer : this->answers) {
            this->result.longestGapMs =
                std::max(this->result.longestGapMs, milliseconds(answer - last));
            last = answer;
        }
        this->result.seconds = milliseconds(last - began) / 1000.0;
        std::sort(this->result.latenciesMs.begin(), this->result.latenciesMs.end());
        return this->result;
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t finished = 0;
    std::vector<Instant> answers;
    LoadResult result;
};

void sendUntilEnd(const RequestSender &send, const std::shared_ptr<Collector> &collector,
                  const std::shared_ptr<std::atomic<std::uint64_t>> &sequence, Instant end)
{
    const Instant due = monotonicNow();
    if (due >= end)
        return;
    const std::uint64_t number = sequence->fetch_add(1);
    send(number, [=](RequestOutcome outcome) {
        collector->record(due, outcome);
        sendUntilEnd(send, collector, sequence, end);
    });
}

} // namespace

double LoadResult::percentile(double fraction) const
{
    if (this->latenciesMs.empty())
        return 0.0;
    const auto last = static_cast<double>(this->latenciesMs.size() - 1);
    return this->latenciesMs[static_cast<std::size_t>(std::lround(fraction * last))];
}

LoadResult runOpenLoop(const RequestSender &send, double rate, Milliseconds length)
{
    const auto collector = std::make_shared<Collector>();
    const Instant began = monotonicNow();
    const auto count =
        static_cast<std::uint64_t>(rate * static_cast<double>(length.count()) / 1000);
    for (std::uint64_t i = 0; i < count; ++i) {
        const Microseconds offset(static_cast<std::int64_t>(1e6 * static_cast<double>(i) / rate));
        const Instant due = began + offset;
        std::this_thread::sleep_until(due);
        send(i, [collector, due](RequestOutcome outcome) { collector->record(due, outcome); });
    }
    collector->waitFor(count);
    return collector->take(began);
}

LoadResult runClosedLoop(const RequestSender &send, std::size_t inFlight, Milliseconds length)
{
    const auto collector = std::make_shared<Collector>();
    const auto sequence = std::make_shared<std::atomic<std::uint64_t>>(0);
    const Instant began = monotonicNow();
    const Instant end = began + length;
    for (std::size_t i = 0; i < inFlight; ++i)
        sendUntilEnd(send, collector, sequence, end);
    std::this_thread::sleep_until(end);
    collector->waitFor(sequence->load());
    return collector->take(began);
}

} // namespace guavavalve
