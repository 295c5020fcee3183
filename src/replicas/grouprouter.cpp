#include "replicas/grouprouter.h"

#include "core/codec.h"

#include <array>
#include <shared_mutex>
#include <utility>

namespace guavavalve {

namespace {

constexpr std::array logMethods{Method::PreVote, Method::Vote, Method::AppendEntries,
                                Method::InstallSnapshot, Method::TimeoutNow};

/// Decodes only the group, which is the first member of a RaftMessage.
std::optional<GroupId> groupOf(std::string_view message)
{
    const auto group = decode<std::uint32_t>(message.substr(0, sizeof(std::uint32_t)));
    if (!group)
        return std::nullopt;
    return static_cast<GroupId>(group.value());
}

} // namespace

struct GroupRouter::Routes
{
    std::shared_mutex mutex;
    std::map<GroupId, Receiver> receivers;

    void deliver(std::string message, Done<std::string> reply)
    {
        const std::optional<GroupId> group = groupOf(message);
        // Held while the receiver runs, so that no receiver runs after detach() has returned. This
        // cannot deadlock: a receiver only enqueues the message and takes no lock of the router.
        const std::shared_lock lock(this->mutex);
        const auto found = group ? this->receivers.find(*group) : this->receivers.end();
        if (found == this->receivers.end()) {
            reply(failure(ErrorCode::NotFound,
                          "this instance has no replica of the requested group"));
            return;
        }
        found->second(std::move(message), std::move(reply));
    }
};

GroupRouter::GroupRouter(Messenger &messenger)
    : transport(messenger)
    , routes(std::make_shared<Routes>())
{
    for (const Method method : logMethods) {
        messenger.handle(method,
                         [shared = this->routes](const InstanceId &, std::string message,
                                                 Done<std::string> reply) {
                             shared->deliver(std::move(message), std::move(reply));
                         });
    }
}

GroupRouter::~GroupRouter() = default;

Messenger &GroupRouter::messenger() const
{
    return this->transport;
}

void GroupRouter::attach(GroupId group, Receiver receiver)
{
    const std::unique_lock lock(this->routes->mutex);
    this->routes->receivers[group] = std::move(receiver);
}

void GroupRouter::detach(GroupId group)
{
    const std::unique_lock lock(this->routes->mutex);
    this->routes->receivers.erase(group);
}

} // namespace guavavalve
