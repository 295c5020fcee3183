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

/// Locates the controller among the replicas and sends calls to it. Thread safe.
///
/// Requests are idempotent (submits by idempotency key, ends by attempt, operators' changes by
/// request ID), so a call whose reply was lost is retried until its deadline.
class ControllerLink : public std::enable_shared_from_this<ControllerLink>
{
public:
    /// Runs an action after a delay, on the daemon's timer.
    using Delay = std::function<void(Milliseconds, std::function<void()>)>;

    struct Limits
    {
        /// Timeout of one attempt: long enough for an election to complete, short enough that
        /// time is left to try another replica if the controller does not respond.
        Milliseconds attemptTimeout{1500};
        Milliseconds retryDelay{50};
        /// When a call has had no response for this long, the other replicas are asked who leads;
        /// zero disables this.
        Milliseconds unresponsiveAfter{0};
    };

    /// \a replicas: addresses ("ip:port") of the replicas' messengers.
    ControllerLink(Messenger &messenger, std::vector<std::string> replicas, Delay delay,
                   Clock clock = monotonicNow);
    ControllerLink(Messenger &messenger, std::vector<std::string> replicas, Delay delay,
                   Limits limits, Clock clock);

    /// Replaces the known addresses after a change of the group's members. Ignores an empty list.
    void setReplicas(std::vector<std::string> replicas);
    /// The last known address of the controller; empty if unknown.
    std::string controllerAddress() const;

    /// Calls the controller. \errors the controller's own; Unavailable if no controller answered
    /// by \a deadline, with Ran::Unknown if the request may have been accepted.
    void call(Method method, std::string payload, Instant deadline, Done<std::string> done);

private:
    struct Call;

    void attempt(const std::shared_ptr<Call> &call);
    void replyReceived(const std::shared_ptr<Call> &call, const std::string &address,
                       unsigned attempt, Result<std::string> reply);
    bool settle(const std::shared_ptr<Call> &call);
    Ran ranOf(const std::shared_ptr<Call> &call) const;
    void monitor(const std::shared_ptr<Call> &call, const std::string &address, unsigned attempt);
    void probeOtherReplicas(const std::string &unresponsive);
    void leaderReported(const std::string &unresponsive, const Result<std::string> &leads);
    bool isUnresponsive(const std::string &address) const;
    std::string nextAddress();
    void updateLeader(const std::string &address, const std::string &leader);

    Messenger &messenger;
    std::vector<std::string> replicas;
    Delay delay;
    Limits limits;
    Clock clock;
    mutable std::mutex mutex;
    std::string leader; ///< address; empty if unknown
    std::size_t nextReplica = 0;
    std::set<std::shared_ptr<Call>> inFlight; ///< calls whose response time is monitored
    bool isProbing = false; ///< the other replicas are being asked who leads
};

} // namespace guavavalve
