#pragma once

#include "controller/jobstatus.h"
#include "controller/submitreply.h"
#include "core/clock.h"
#include "core/error.h"
#include "targets/endedattempt.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace guavavalve {

class ControllerClient;
class Dispatcher;
class TargetClient;
class TimerQueue;
struct HttpResponse;

/// A caller's request that waits for its accepted job and is replied to exactly once.
///
/// The answer comes from this entry's dispatcher if it sent the task. Otherwise, when the request
/// joined another one or another entry sent the task, it is fetched from the target once the
/// controller reports that the job has finished.
class WaitingCall : public std::enable_shared_from_this<WaitingCall>
{
public:
    struct Context
    {
        ControllerClient &controller;
        Dispatcher &dispatcher;
        TargetClient &targets;
        TimerQueue &timers;
    };

    /// Called once with the response; for an error, also with its Ran, for the counters.
    using Reply = std::function<void(const HttpResponse &, std::optional<Ran>)>;

    WaitingCall(const Context &context, std::string team, std::uint32_t tasks, Instant received,
                Instant deadline, Reply reply);

    /// Waits for the job of \a accepted, and passes the orders in it to the dispatcher.
    void start(SubmitReply accepted);

private:
    void onAttemptEnded(const EndedAttempt &attempt);
    void pollStatus();
    void onStatus(const Result<JobStatus> &result);
    void onJobFinished(const JobStatus &status);
    void fetch(const TaskStatus &task, std::int64_t waitedMs);
    void sendReply(const HttpResponse &response, std::optional<Ran> ran);
    void fail(const Error &error);

    Context context;
    std::string team;
    std::uint32_t tasks;
    Instant received;
    Instant deadline;
    Reply reply;
    JobId job = JobId::None;
    std::uint64_t listenerId = 0;
    std::atomic<bool> polling{false};
    std::atomic<bool> replied{false};
};

} // namespace guavavalve
