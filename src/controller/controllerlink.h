#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "core/error.h"
#include "replicas/messenger.h"

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace guavavalve {

/// Finds the controller among the replicas and carries calls to it. Thread safe.
///
/// Requests are safe to send twice (submits by idempotency key, ends by attempt, operators'
/// changes by request identity), so a call whose reply was lost goes again until its deadline.
class ControllerLink : public std::enable_shared_from_this<ControllerLink>
{
public:
    /// Runs an action after a while; the daemon's timer.
    using Delay = std::function<void(Milliseconds, std::function<void()>)>;

    struct Limits
    {
        /// One try's share of the deadline: long enough for an election to end meanwhile, short
        /// enough that a controller that went silent is left in time.
        Milliseconds attemptTimeout{1500};
        Milliseconds retryDelay{50};
        /// Without an answer for this long the other replicas are asked who leads; zero: never.
        Milliseconds unresponsiveAfter{0};
    };

    /// \a replicas: addresses ("ip:port") of the replicas' messengers.
    ControllerLink(Messenger &messenger, std::vector<std::string> replicas, Delay delay,
                   Clock clock = monotonicNow);
    ControllerLink(Messenger &messenger, std::vector<std::string> replicas, Delay delay,
                   Limits limits, Clock clock);

    /// Puts \a replicas in place of the addresses known before, where the group's members change.
    void setReplicas(std::vector<std::string> replicas);
    /// Where the controller was last found; empty: not known.
    std::string controllerAddress() const;

    /// Calls the controller. \errors the controller's own; Unavailable if none was found by
    /// \a deadline, with Ran::Unknown if the request may have been taken.
    void call(Method method, std::string payload, Instant deadline, Done<std::string> done);

private:
    struct Call;

    void attempt(const std::shared_ptr<Call> &call);
    void answered(const std::shared_ptr<Call> &call, const std::string &address, unsigned attempt,
                  Result<std::string> reply);
    bool settle(const std::shared_ptr<Call> &call);
    Ran ranOf(const std::shared_ptr<Call> &call) const;
    void watch(const std::shared_ptr<Call> &call, const std::string &address, unsigned attempt);
    void askOthers(const std::string &doubted);
    void told(const std::string &doubted, const Result<std::string> &leads);
    bool isDoubted(const std::string &address) const;
    std::string nextAddress();
    void suspect(const std::string &address, const std::string &leader);

    Messenger &messenger;
    std::vector<std::string> replicas;
    Delay delay;
    Limits limits;
    Clock clock;
    mutable std::mutex mutex;
    std::string leader; ///< address; empty: not known
    std::size_t turn = 0;
    std::set<std::shared_ptr<Call>> underWay; ///< watched for doubt
    bool isAsking = false; ///< the other replicas, who leads
};

} // namespace guavavalve
