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

class Ledger;

/// What a target knows of an attempt.
enum class Knowledge { Running, Ended, Unknown, NoLease };

struct AttemptView
{
    Knowledge knowledge = Knowledge::Unknown;
    guavavalve::AttemptOutcome outcome = guavavalve::AttemptOutcome::Failed; ///< once ended
    std::string answer;
};

/// The attempts of one target: what runs, what has ended, and what is refused for ever.
/// Thread safe; callbacks are called without its lock.
class AttemptTable : public std::enable_shared_from_this<AttemptTable>
{
public:
    using Tell = std::function<void(AttemptView)>;

    struct Options
    {
        int runMs = 0; ///< unless the payload says "runMs=N"
        std::size_t answerBytes = 0; ///< at least; unless the payload says "answerBytes=N"
        std::int64_t slots = 8;
    };

    AttemptTable(guavavalve::TimerQueue &timers, Ledger &ledger, Options options,
                 guavavalve::Incarnation incarnation);

    /// Starts an attempt, unless it is known already, refused for ever, or of an incarnation that
    /// is over. \a tell is called when it has ended, or after \a wait.
    void start(guavavalve::AttemptId attempt, guavavalve::Incarnation incarnation,
               const std::string &payload, guavavalve::Milliseconds wait, const Tell &tell);

    void ask(guavavalve::AttemptId attempt, guavavalve::Incarnation incarnation,
             guavavalve::Milliseconds wait, const Tell &tell);

    /// Ends an attempt, or refuses it for ever.
    AttemptView stop(guavavalve::AttemptId attempt, guavavalve::Incarnation incarnation);

    void forget(guavavalve::AttemptId attempt);

    /// The lease of \a announced now lasts until \a until.
    void leased(guavavalve::Incarnation announced, guavavalve::Instant until);
    /// Stops everything if the lease is over, and takes a new incarnation: a start that was
    /// decided under the old lease must not be taken under the next one.
    void checkLease();

    void failAll(bool fail);

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
              const Tell &tell);
    void run(const Key &key, guavavalve::Incarnation incarnation, const std::string &payload);
    void finish(const Key &key, guavavalve::AttemptOutcome outcome, const std::string &answer);
    bool isCurrent(guavavalve::Incarnation wanted) const;
    AttemptView unknown(guavavalve::Incarnation wanted) const;
    std::string answerTo(const std::string &payload) const;

    guavavalve::TimerQueue &timers;
    Ledger &ledger;
    Options options;
    guavavalve::Incarnation firstIncarnation;
    mutable std::mutex mutex;
    guavavalve::Incarnation currentIncarnation;
    guavavalve::Instant leaseUntil{};
    bool failing = false;
    std::map<Key, Attempt> attempts; ///< kept for as long as the process lives
    std::set<Key> runningNow;
};

} // namespace standin
