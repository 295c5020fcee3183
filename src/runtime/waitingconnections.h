#pragma once

#include <functional>
#include <list>
#include <memory>

namespace guavavalve::internal {

class HttpConnection;

/// The connections of a server whose requests have not arrived, in the order in which they are
/// closed to make room for others: those that have begun or never sent a request before those that
/// are idle between two requests, and the longest waiting first. Not thread-safe.
///
/// Guards against clients that hold all connections, or all memory for requests, without ever
/// finishing a request. A client that sends its request at once is served before its turn comes.
class WaitingConnections
{
public:
    using List = std::list<std::shared_ptr<HttpConnection>>;
    /// The place of one connection.
    struct Place
    {
        List *list = nullptr; ///< null: it is not waiting
        List::iterator position;
    };

    /// The connection was opened, or has begun a request.
    void addUnfinished(const std::shared_ptr<HttpConnection> &connection, Place &place);
    /// A request was answered, and the next one has not begun.
    void addIdle(const std::shared_ptr<HttpConnection> &connection, Place &place);
    void remove(Place &place);

    /// Null if none is waiting.
    std::shared_ptr<HttpConnection> first() const;
    /// The first unfinished one for which \a matches returns true, or null.
    std::shared_ptr<HttpConnection>
    firstUnfinished(const std::function<bool(const HttpConnection &)> &matches) const;

private:
    void add(List &list, const std::shared_ptr<HttpConnection> &connection, Place &place);

    List unfinished; ///< longest first
    List idle; ///< longest first
};

} // namespace guavavalve::internal
