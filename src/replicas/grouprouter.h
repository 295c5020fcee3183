#pragma once

#include "journal/replicaidentity.h"
#include "replicas/messenger.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace guavavalve {

/// Routes each message of the replicated log to the replica of its group, since one process may
/// host replicas of several groups.
class GroupRouter
{
public:
    using Receiver = std::function<void(std::string message, Done<std::string> reply)>;

    /// Registers the log's methods with \a messenger, which must not have been started yet.
    explicit GroupRouter(Messenger &messenger);
    GroupRouter(const GroupRouter &) = delete;
    GroupRouter &operator=(const GroupRouter &) = delete;
    ~GroupRouter();

    Messenger &messenger() const;

    /// Delivers messages for \a group to \a receiver, which must not block.
    void attach(GroupId group, Receiver receiver);
    /// Once this returns, the group's receiver is not running and is not called again.
    void detach(GroupId group);

private:
    struct Routes;
    Messenger &transport;
    std::shared_ptr<Routes> routes;
};

} // namespace guavavalve
