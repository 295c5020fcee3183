#pragma once

#include "controller/controllerliveness.h"
#include "core/clock.h"
#include "core/done.h"
#include "core/error.h"
#include "replicas/messenger.h"

#include <atomic>
#include <cstdint>
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
/// request ID), so a call whose reply was lost is retried until its deadline. While the controller
/// is heard, a call stays with it and is not sent again, however slow the reply is: a second
/// attempt would add to the load that makes it slow. One that refuses a call for the moment, for
/// example because a queue is full, is asked again after a delay and remains the leader.
///
/// A call whose connection was lost at two replicas is not sent to a third: it may be what ends
/// them. Its caller learns that it may have run.
class ControllerLink : public std::enable_shared_from_this<ControllerLink>
{
public:
    /// Runs an action after a delay, on the daemon's timer.
    using Delay = std::function<void(Milliseconds, std::function<void()>)>;

    struct Limits
    {
        /// After this long without any frame from the controller, calls to it are sent to another
        /// replica: long enough for an election to complete, short enough that time is left to try
        /// the other. If unresponsiveAfter is zero, the timeout of each attempt.
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
    /// When the controller was last heard of: it answered, or any other frame arrived from it after
    /// an answer and it has not denied to lead since. The epoch if never.
    Instant lastContact() const;
    /// Calls sent again though an earlier attempt may have reached a controller.
    std::uint64_t repeatedAttempts() const { return this->repeats; }

    /// Calls the controller. \errors the controller's own; Unavailable if no controller answered
    /// by \a deadline, with Ran::Unknown if the request may have been accepted.
    void call(Method method, std::string payload, Instant deadline, Done<std::string> done);

private:
    struct Call;

    void attempt(const std::shared_ptr<Call> &call);
    bool isKeptAt(const std::shared_ptr<Call> &call, const std::string &address, Instant now);
    void abandon(const std::shared_ptr<Call> &call);
    bool isReaderLost(const std::string &address, const Error &error) const;
    bool keepsLeader(const std::string &address, const Error &error) const;
    void probeIfRefused(const std::shared_ptr<Call> &call);
    static bool moves(Call &call, const std::string &leader, const std::string &by);
    static void noteRefusal(Call &call, const std::string &address, const Error &error,
                            Instant now);
    void replyReceived(const std::shared_ptr<Call> &call, const std::string &address,
                       unsigned attempt, Result<std::string> reply);
    void settle(const std::shared_ptr<Call> &call, Result<std::string> result);
    Ran ranOf(const std::shared_ptr<Call> &call) const;
    void monitor(const std::shared_ptr<Call> &call, const std::string &address, unsigned attempt);
    void probe();
    std::set<std::string> unresponsiveAddresses(Instant now) const;
    std::vector<std::string> probedAddresses(const std::set<std::string> &unresponsive,
                                             Instant now) const;
    void leaderReported(const std::set<std::string> &unresponsive, const std::string &by,
                        const Result<std::string> &leads);
    Instant lastHeard(const std::string &address) const;
    std::string nextAddress();
    void updateLeader(const std::string &address, const std::string &leader);

    Messenger &messenger;
    std::vector<std::string> replicas;
    Delay delay;
    Limits limits;
    Clock clock;
    std::atomic<std::uint64_t> repeats{0};
    mutable std::mutex mutex;
    ControllerLiveness liveness;
    std::string leader; ///< address; empty if unknown
    std::size_t nextReplica = 0;
    std::set<std::shared_ptr<Call>> inFlight; ///< calls whose response time is monitored
    bool isProbing = false; ///< the replicas are being asked who leads
};

} // namespace guavavalve
