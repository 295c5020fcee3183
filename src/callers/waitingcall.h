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

/// A caller that waits for its accepted job, to the one reply that it gets.
///
/// The answer comes from this entry's dispatcher, if it sends the work, or else from the target
/// once the controller tells of the end: the job may have been joined, or sent by another entry.
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

    /// \a reply is called once, with an error's Ran, if it is one, for counting.
    using Reply = std::function<void(const HttpResponse &, std::optional<Ran>)>;

    WaitingCall(const Context &context, std::string team, std::uint32_t tasks, Instant received,
                Instant deadline, Reply reply);

    /// Waits for the job of \a accepted, and has its orders carried out.
    void start(SubmitReply accepted);

private:
    void attemptEnded(const EndedAttempt &attempt);
    void pollStatus();
    void statusArrived(const Result<JobStatus> &result);
    void finished(const JobStatus &status);
    void fetch(const TaskStatus &task, std::int64_t waitedMs);
    void finish(const HttpResponse &response, std::optional<Ran> ran);
    void fail(const Error &error);

    Context context;
    std::string team;
    std::uint32_t tasks;
    Instant received;
    Instant deadline;
    Reply reply;
    JobId job = JobId::None;
    std::uint64_t listening = 0;
    std::atomic<bool> polling{false};
    std::atomic<bool> replied{false};
};

} // namespace guavavalve
