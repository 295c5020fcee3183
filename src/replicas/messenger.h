#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "core/ids.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace guavavalve {

/// The method of a call between two instances. Values are part of the wire format.
enum class Method : std::uint16_t {
    // The replicated log.
    PreVote = 1,
    Vote = 2,
    AppendEntries = 3,
    InstallSnapshot = 4,
    TimeoutNow = 5,
    // From an entry instance to the controller.
    Submit = 20,
    AttemptEnded = 21,
    JobStatus = 22,
    CancelJob = 23,
    Announce = 24,
    SyncConfiguration = 25,
    Operate = 26,
    Relay = 27,
    ReportSummary = 28, ///< targets that reported to another replica without new information
    TargetReport = 29, ///< a target's report, to a replica that may know its content already
    RelayStamped = 30, ///< a caller's call, with the time at which it was received
    RelayDated = 31, ///< any call, with the time after which it was sent as well
    // From the controller to an entry instance.
    Dispatch = 40,
    RequestAdmission = 41,
    ForwardOrder = 42, ///< forwarded to a target; the reply is the target's answer
    // Between any two instances.
    Ping = 60,
    ReplicaStatus = 61,
    FormGroup = 62,
    Presence = 63,
    TimedPresence = 65, ///< as Presence; the reply contains the controller's clock
    FindLeader = 64, ///< served by replicas: the address of the current leader; empty: none known
};

/// Authenticated calls between instances over TCP.
///
/// Each frame is limited in length, versioned, bound to the cluster's identity and authenticated; a
/// frame that fails one of these checks is counted and dropped. A connection on which nothing has
/// arrived within MessengerOptions::idleTimeout is replaced.
class Messenger
{
public:
    /// Serves a call. \a reply is called exactly once, possibly later and from any thread. If the
    /// handler throws, or drops all copies of \a reply without a call, the caller gets Internal
    /// with Ran::Unknown. The same exception in the handler of a reply is counted, and nothing
    /// else.
    using Handler =
        std::function<void(const InstanceId &from, std::string payload, Done<std::string> reply)>;

    virtual ~Messenger() = default;

    /// Registers the only handler of \a method. Must be called before start().
    virtual void handle(Method method, Handler handler) = 0;

    /// Calls the instance at \a address ("ip:port").
    /// \errors the handler's own error; Unavailable with Ran::No if the frame was never sent,
    /// DeadlineExceeded with Ran::Unknown if no reply came by \a deadline.
    virtual void call(const std::string &address, Method method, std::string payload,
                      Instant deadline, Done<std::string> done) = 0;

    /// When the last frame, of whatever kind, arrived on the open connection to \a address; none if
    /// there is no such connection or this is not known. Thread-safe.
    virtual std::optional<Instant> lastHeard(const std::string & /*address*/) const
    {
        return std::nullopt;
    }
};

} // namespace guavavalve
