#include "runtime/waitingconnections.h"

#include <algorithm>
#include <utility>

namespace guavavalve::internal {

void WaitingConnections::addUnfinished(const std::shared_ptr<HttpConnection> &connection,
                                       Place &place)
{
    this->add(this->unfinished, connection, place);
}

void WaitingConnections::addIdle(const std::shared_ptr<HttpConnection> &connection, Place &place)
{
    this->add(this->idle, connection, place);
}

void WaitingConnections::add(List &list, const std::shared_ptr<HttpConnection> &connection,
                             Place &place)
{
    this->remove(place);
    place.list = &list;
    place.position = list.insert(list.end(), connection);
}

void WaitingConnections::remove(Place &place)
{
    if (List *list = std::exchange(place.list, nullptr))
        list->erase(place.position);
}

std::shared_ptr<HttpConnection> WaitingConnections::first() const
{
    if (!this->unfinished.empty())
        return this->unfinished.front();
    return this->idle.empty() ? nullptr : this->idle.front();
}

std::shared_ptr<HttpConnection> WaitingConnections::firstUnfinished(
    const std::function<bool(const HttpConnection &)> &matches) const
{
    const auto found = std::find_if(this->unfinished.begin(), this->unfinished.end(),
                                    [&matches](const auto &one) { return matches(*one); });
    return found == this->unfinished.end() ? nullptr : *found;
}

} // namespace guavavalve::internal
