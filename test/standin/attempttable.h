#pragma once

#include "controller/announcement.h"
#include "core/attemptoutcome.h"
#include "core/clock.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve {
class TimerQueue;
}

namespace standin {

class StartLog;

/// The state of an attempt as its target knows it. NoLease: the target holds no lease and starts
/// nothing.
enum class AttemptState { Running, Ended, Unknown, NoLease };

struct AttemptView
{
    AttemptState state = AttemptState::Unknown;
    guavavalve::AttemptOutcome outcome = guavavalve::AttemptOutcome::Failed; ///< valid once ended
    std::string answer;
};

/// The attempts of one target: running, ended, and permanently refused ones. Thread safe;
/// callbacks are invoked without holding the lock.
class AttemptTable : public std::enable_shared_from_this<AttemptTable>
{
public:
    using Callback = std::function<void(AttemptView)>;

    struct Options
    {
        int runMs = 0; ///< run time, unless the payload says "runMs=N"
        std::size_t answerBytes = 0; ///< minimum, unless the payload says "answerBytes=N"
        std::int64_t slots = 8;
    };

    AttemptTable(guavavalve::TimerQueue &timers, StartLog &startLog, Options options,
                 guavavalve::Incarnation incarnation);

    /// Starts an attempt, unless it is known already, has been refused permanently, or belongs to
    /// an earlier incarnation. Calls \a callback when the attempt has ended, or after \a wait.
    void start(guavavalve::AttemptId attempt, guavavalve::Incarnation incarnation,
               const std::string &payload, guavavalve::Milliseconds wait, const Callback &callback);

    /// Calls \a callback once the attempt has ended, or after \a wait; at once if it is not
    /// running.
    void query(guavavalve::AttemptId attempt, guavavalve::Incarnation incarnation,
               guavavalve::Milliseconds wait, const Callback &callback);

    /// Stops a running attempt; permanently refuses an attempt that is not known yet.
    AttemptView stop(guavavalve::AttemptId attempt, guavavalve::Incarnation incarnation);

    /// Drops the answer of an ended attempt. The attempt still cannot be started again.
    void forget(guavavalve::AttemptId attempt);

    /// Extends the lease of the incarnation \a announced until \a until.
    void extendLease(guavavalve::Incarnation announced, guavavalve::Instant until);
    /// Stops all attempts and begins a new incarnation if the lease has expired: a start that was
    /// decided under the old lease must not be accepted under the next one.
    void checkLease();

    /// While \a fail is set, every attempt that is started fails.
    void setFailAll(bool fail);

    guavavalve::Incarnation incarnation() const;
    std::vector<guavavalve::AttemptId> running() const;

private:
    using Key = std::pair<guavavalve::TaskId, guavavalve::AttemptNumber>;
    using Waiter = std::function<void(const AttemptView &)>;

    struct Attempt
    {
        AttemptView view;
        std::string payload;
        std::vector<Waiter> waiters;
        bool forgotten = false;
    };

    void wait(std::unique_lock<std::mutex> lock, Attempt &attempt, guavavalve::Milliseconds wait,
              const Callback &callback);
    void run(const Key &key, guavavalve::Incarnation incarnation, const std::string &payload);
    void finish(const Key &key, guavavalve::AttemptOutcome outcome, const std::string &answer);
    bool isCurrent(guavavalve::Incarnation wanted) const;
    AttemptView staleIncarnationView(guavavalve::Incarnation wanted) const;
    std::string makeAnswer(const std::string &payload) const;

    guavavalve::TimerQueue &timers;
    StartLog &startLog;
    Options options;
    guavavalve::Incarnation firstIncarnation;
    mutable std::mutex mutex;
    guavavalve::Incarnation currentIncarnation;
    guavavalve::Instant leaseUntil{};
    bool failing = false;
    std::map<Key, Attempt> attempts; ///< kept for the lifetime of the process
    std::set<Key> runningAttempts;
};

} // namespace standin
