#pragma once

#include "controller/configurationsync.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/ids.h"
#include "state/configurationview.h"
#include "state/keyrecord.h"

#include <atomic>
#include <functional>
#include <memory>
#include <shared_mutex>
#include <string>

namespace guavavalve {

class RemoteController;

/// Keeps an entry's copy of the configuration and of the valid keys up to date, under a lease that
/// the controller renews. Thread safe.
///
/// The lease prevents an entry from serving requests under an outdated configuration, for example
/// from accepting a withdrawn key. It is counted from the time the request was sent and is checked
/// against the monotonic clock at each use, so an entry that is partitioned, or that resumes after
/// its process was suspended, refuses requests.
class ConfigurationFollower : public std::enable_shared_from_this<ConfigurationFollower>
{
public:
    struct Options
    {
        InstanceId instance;
        std::string address; ///< "ip:port" of this instance's messenger
        std::string clusterSecret; ///< used to verify keys
        bool holdsReplica = false; ///< has a data folder, so it can host a replica
        Clock clock = monotonicNow;
        std::function<void(Milliseconds, std::function<void()>)> delay;
        /// How long the controller may hold back a reply without changes.
        Milliseconds maxReplyHold{300};
    };

    ConfigurationFollower(Options options, RemoteController &controller);

    void start();
    void stop();

    /// True while requests may be served under this configuration.
    bool holdsLease() const;

    std::uint64_t version() const;

    /// The key that the bearer token \a bearer belongs to.
    /// \errors Unauthenticated; Unavailable, with Ran::No, without a lease.
    Result<KeyRecord> identify(const std::string &bearer) const;

    /// The error that an instance without a lease returns.
    static Error noLeaseError();

    /// Calls \a reader under a shared lock on the configuration.
    template<typename Reader>
    auto read(Reader &&reader) const
    {
        const std::shared_lock lock(this->mutex);
        return reader(static_cast<const ConfigurationView &>(this->view));
    }

private:
    void sendRequest();
    void replyReceived(Instant sentAt, const Result<SyncReply> &reply);

    Options options;
    RemoteController &controller;
    std::atomic<bool> stopped{false};
    mutable std::shared_mutex mutex;
    ConfigurationView view;
    Instant leaseEnd{};
};

} // namespace guavavalve
