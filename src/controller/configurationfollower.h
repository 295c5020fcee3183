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

/// Keeps an entry's copy of the configuration and the keys in force, under a lease that the
/// controller renews. Thread safe.
///
/// Guards against an entry that goes on by an old configuration, which would show as a withdrawn
/// key that still works. The lease is counted from when the request was sent and checked by the
/// monotonic clock at each use: an entry that is cut off, or was frozen and wakes, refuses.
class ConfigurationFollower : public std::enable_shared_from_this<ConfigurationFollower>
{
public:
    struct Options
    {
        InstanceId instance;
        std::string address; ///< "ip:port" of this instance's messenger
        std::string clusterSecret; ///< to check keys with
        bool holdsReplica = false; ///< this instance has a data folder
        Clock clock = monotonicNow;
        std::function<void(Milliseconds, std::function<void()>)> delay;
        Milliseconds hold{300}; ///< how long the controller may hold back an empty answer
    };

    ConfigurationFollower(Options options, RemoteController &controller);

    void start();
    void stop();

    /// True while the controller's answer may be served by.
    bool holdsLease() const;

    std::uint64_t version() const;

    /// The key that \a bearer, a token as its holder shows it, belongs to.
    /// \errors Unauthenticated; Unavailable, ran no, without a lease.
    Result<KeyRecord> identify(const std::string &bearer) const;

    /// The refusal of an instance without a lease.
    static Error noLease();

    /// Calls \a reader with the configuration held still.
    template<typename Reader>
    auto read(Reader &&reader) const
    {
        const std::shared_lock lock(this->mutex);
        return reader(static_cast<const ConfigurationView &>(this->view));
    }

private:
    void ask();
    void answered(Instant sentAt, const Result<SyncReply> &reply);

    Options options;
    RemoteController &controller;
    std::atomic<bool> stopped{false};
    mutable std::shared_mutex mutex;
    ConfigurationView view;
    Instant leaseEnd{};
};

} // namespace guavavalve
