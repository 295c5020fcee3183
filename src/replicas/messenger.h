#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "core/ids.h"

#include <cstdint>
#include <functional>
#include <string>

namespace guavavalve {

/// What a call between two of our instances asks for. Values are part of the wire format.
enum class Method : std::uint16_t {
    // The replicated log.
    PreVote = 1,
    Vote = 2,
    AppendEntries = 3,
    InstallSnapshot = 4,
    TimeoutNow = 5,
    // Entry to controller.
    Submit = 20,
    AttemptEnded = 21,
    JobStatus = 22,
    CancelJob = 23,
    Announce = 24,
    SyncConfiguration = 25,
    Operate = 26,
    Relay = 27,
    // Controller to entry.
    Dispatch = 40,
    RequestAdmission = 41,
    ForwardOrder = 42, ///< to a target, whose answer comes back
    // Any instance to any other.
    Ping = 60,
    ReplicaStatus = 61,
    FormGroup = 62,
    Presence = 63,
    FindLeader = 64, ///< a replica: answers with the address of the leader it follows; empty: none
};

/// Authenticated calls between our own instances over TCP.
///
/// Each frame is length-capped, versioned, bound to the cluster's identity and authenticated; a
/// frame that fails is counted and dropped. A peer whose connection has been silent past the
/// heartbeat's deadline has its connection replaced.
class Messenger
{
public:
    /// Serves a call. \a reply may be called later and from any thread, once.
    using Handler =
        std::function<void(const InstanceId &from, std::string payload, Done<std::string> reply)>;

    virtual ~Messenger() = default;

    /// Registers the only handler of \a method. Done before start().
    virtual void handle(Method method, Handler handler) = 0;

    /// Calls the instance at \a address ("ip:port").
    /// \errors the handler's own error; Unavailable with Ran::No if the frame was never sent,
    /// DeadlineExceeded with Ran::Unknown if no reply came by \a deadline.
    virtual void call(const std::string &address, Method method, std::string payload,
                      Instant deadline, Done<std::string> done) = 0;
};

} // namespace guavavalve
