#pragma once

#include "controller/controllerclient.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace fakes {

/// A controller that replies at once with the results of its hooks, and records the calls.
class FakeController : public guavavalve::ControllerClient
{
public:
    template<typename T>
    using Result = guavavalve::Result<T>;

    std::function<Result<guavavalve::SubmitReply>(const guavavalve::SubmitRequest &)> onSubmit;
    std::function<Result<guavavalve::Nothing>(const guavavalve::AttemptEnd &)> onEnd;
    std::function<Result<guavavalve::JobStatus>(guavavalve::JobId, bool awaitEnd)> onStatus;
    std::function<Result<guavavalve::JobStatus>(guavavalve::JobId)> onCancel;
    std::function<Result<std::vector<guavavalve::AnnouncementReply>>(
        const std::vector<guavavalve::Announcement> &)>
        onAnnounce;

    void submit(guavavalve::SubmitRequest request, guavavalve::Instant,
                guavavalve::Done<guavavalve::SubmitReply> done) override
    {
        this->record([&] { this->submitted.push_back(request); });
        done(this->onSubmit(request));
    }

    void attemptEnded(guavavalve::AttemptEnd end, guavavalve::Instant,
                      guavavalve::Done<guavavalve::Nothing> done) override
    {
        auto result =
            this->onEnd ? this->onEnd(end) : Result<guavavalve::Nothing>(guavavalve::Nothing{});
        this->record([&] { this->ends.push_back(end); });
        done(std::move(result));
    }

    void jobStatus(std::string, guavavalve::JobId job, bool awaitEnd, guavavalve::Instant,
                   guavavalve::Done<guavavalve::JobStatus> done) override
    {
        done(this->onStatus(job, awaitEnd));
    }

    void cancelJob(std::string, guavavalve::JobId job, guavavalve::Instant,
                   guavavalve::Done<guavavalve::JobStatus> done) override
    {
        done(this->onCancel(job));
    }

    void announce(std::vector<guavavalve::Announcement> announcements, guavavalve::Instant,
                  guavavalve::Done<std::vector<guavavalve::AnnouncementReply>> done) override
    {
        auto result = this->onAnnounce(announcements);
        this->record([&] { this->batches.push_back(announcements); });
        done(std::move(result));
    }

    /// Waits until \a condition holds for the recorded calls; false on timeout.
    bool waitUntil(const std::function<bool()> &condition)
    {
        constexpr std::chrono::seconds timeout{30};
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, timeout, condition);
    }

    /// Recorded calls. Read them within waitUntil(), or when no call is in progress.
    std::vector<guavavalve::SubmitRequest> submitted;
    std::vector<guavavalve::AttemptEnd> ends;
    std::vector<std::vector<guavavalve::Announcement>> batches;

private:
    template<typename Change>
    void record(Change change)
    {
        {
            const std::lock_guard lock(this->mutex);
            change();
        }
        this->changed.notify_all();
    }

    std::mutex mutex;
    std::condition_variable changed;
};

} // namespace fakes
