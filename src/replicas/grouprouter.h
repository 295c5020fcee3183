#pragma once

#include "journal/replicaidentity.h"
#include "replicas/messenger.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace guavavalve {

/// Hands each message of the replicated log to the replica of its group, since one process may
/// hold replicas of several groups.
class GroupRouter
{
public:
    using Receiver = std::function<void(std::string message, Done<std::string> reply)>;

    /// Registers the log's methods with \a messenger. Done before its start().
    explicit GroupRouter(Messenger &messenger);
    GroupRouter(const GroupRouter &) = delete;
    GroupRouter &operator=(const GroupRouter &) = delete;
    ~GroupRouter();

    Messenger &messenger() const;

    /// Messages for \a group go to \a receiver, which must not block.
    void attach(GroupId group, Receiver receiver);
    /// After the return no message is handed to the group's receiver any more.
    void detach(GroupId group);

private:
    struct Routes;
    Messenger &transport;
    std::shared_ptr<Routes> routes;
};

} // namespace guavavalve
