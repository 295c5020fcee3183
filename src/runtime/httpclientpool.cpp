#include "runtime/httpclientpool.h"

#include "runtime/ioloop.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace guavavalve::internal {

HttpClientPool::HttpClientPool(std::shared_ptr<IoLoop> loop, HttpClientOptions options)
    : loop(std::move(loop))
    , options(options)
{}

HttpClientPool::Lane &HttpClientPool::lane(const LaneAddress &address)
{
    return this->peers[address.peer][address.isForLongPolls ? 1 : 0];
}

std::size_t HttpClientPool::maxOpen(const LaneAddress &address) const
{
    return address.isForLongPolls ? this->options.maxLongPollsPerPeer : this->options.maxPerPeer;
}

void HttpClientPool::call(const std::string &address, HttpClient::Call call, Instant deadline,
                          Done<HttpResponse> done)
{
    const LaneAddress where{address, call.isLongPoll};
    Lane &lane = this->lane(where);
    std::shared_ptr<HttpClientConnection> connection = this->takeIdle(lane);
    if (!connection && lane.open < this->maxOpen(where) && this->makeRoom())
        connection = this->open(where, lane);
    if (connection)
        connection->start(std::move(call), deadline, std::move(done));
    else
        this->wait(where, lane, std::move(call), deadline, std::move(done));
}

/// The idle connection that was used last and that its peer has not closed.
std::shared_ptr<HttpClientConnection> HttpClientPool::takeIdle(Lane &lane)
{
    while (!lane.idle.empty()) {
        std::shared_ptr<HttpClientConnection> connection = lane.idle.back();
        lane.idle.pop_back();
        this->idle.erase(connection->idlePlace);
        if (connection->isAlive())
            return connection;
        connection->close();
        --lane.open;
        --this->counted.open;
    }
    return nullptr;
}

std::shared_ptr<HttpClientConnection> HttpClientPool::open(const LaneAddress &address, Lane &lane)
{
    ++lane.open;
    ++this->counted.open;
    ++this->counted.opened;
    return std::make_shared<HttpClientConnection>(
        this->shared_from_this(), this->options, *this->loop, address.peer, address.isForLongPolls);
}

/// True if one more connection may be opened, for which the longest idle one may have to go.
bool HttpClientPool::makeRoom()
{
    if (this->counted.open < this->options.maxConnections)
        return true;
    if (this->idle.empty())
        return false;
    ++this->counted.evicted;
    this->forget(*this->idle.front());
    return true;
}

/// Closes an idle connection.
void HttpClientPool::forget(HttpClientConnection &connection)
{
    Lane &lane = this->lane({connection.peer(), connection.isForLongPolls()});
    connection.close();
    const auto place = connection.idlePlace;
    lane.idle.erase(std::remove(lane.idle.begin(), lane.idle.end(), *place), lane.idle.end());
    this->idle.erase(place); // the last to hold it
    --lane.open;
    --this->counted.open;
}

void HttpClientPool::wait(const LaneAddress &address, Lane &lane, HttpClient::Call call,
                          Instant deadline, Done<HttpResponse> done)
{
    if (lane.line.size() >= this->options.maxWaitingPerPeer) {
        ++this->counted.refused;
        this->loop->post([done = std::move(done), peer = address.peer] {
            done(failure(ErrorCode::LimitExceeded, peer + ": too many calls wait in line"));
        });
        return;
    }
    const auto waiting = std::make_shared<WaitingCall>();
    waiting->overdueAt = deadline;
    waiting->done = std::move(done);
    waiting->timer = std::make_unique<boost::asio::steady_timer>(
        this->loop->context(), untilDeadline(std::min(deadline, call.leaveBy)));
    waiting->timer->async_wait(
        [weak = this->weak_from_this(), address, waiting](boost::system::error_code error) {
            const auto self = weak.lock();
            if (!error && self)
                self->overdue(address, waiting);
        });
    const std::uint32_t urgency = call.urgency;
    waiting->call = std::move(call);
    lane.line.emplace(urgency, waiting);
    ++this->counted.waiting;
    if (lane.open == 0 && !std::exchange(lane.isStarved, true))
        this->starved.push_back(address);
}

/// A call whose turn has not come by its deadline. Nothing of it was sent.
void HttpClientPool::overdue(const LaneAddress &address,
                             const std::shared_ptr<WaitingCall> &waiting)
{
    Line &line = this->lane(address).line;
    const auto [first, last] = line.equal_range(waiting->call.urgency);
    const auto found =
        std::find_if(first, last, [&](const auto &one) { return one.second == waiting; });
    if (found == last)
        return; // it went out meanwhile
    line.erase(found);
    --this->counted.waiting;
    waiting->done(failure(ErrorCode::LimitExceeded,
                          address.peer + ": no connection came free by the deadline"));
}

void HttpClientPool::startNext(Lane &lane, const std::shared_ptr<HttpClientConnection> &connection)
{
    const std::shared_ptr<WaitingCall> next = lane.line.begin()->second;
    lane.line.erase(lane.line.begin());
    --this->counted.waiting;
    next->timer->cancel();
    connection->start(std::move(next->call), next->overdueAt, std::move(next->done));
}

void HttpClientPool::settled(const std::shared_ptr<HttpClientConnection> &connection)
{
    Lane &lane = this->lane({connection->peer(), connection->isForLongPolls()});
    if (!lane.line.empty()) {
        this->startNext(lane, connection);
        return;
    }
    lane.idle.push_back(connection);
    connection->idlePlace = this->idle.insert(this->idle.end(), connection);
    this->serveStarved();
}

void HttpClientPool::closed(const std::shared_ptr<HttpClientConnection> &connection, bool isSilent)
{
    const LaneAddress address{connection->peer(), connection->isForLongPolls()};
    Lane &lane = this->lane(address);
    --lane.open;
    --this->counted.open;
    if (isSilent)
        this->dropIdle(address.peer);
    if (!lane.line.empty() && !lane.isStarved && this->makeRoom())
        this->startNext(lane, this->open(address, lane));
    else
        this->serveStarved();
    this->forgetUnused(address.peer);
}

void HttpClientPool::forgetUnused(const std::string &peer)
{
    const auto found = this->peers.find(peer);
    const auto isUnused = [](const Lane &lane) {
        return lane.open == 0 && lane.line.empty() && !lane.isStarved;
    };
    if (found != this->peers.end()
        && std::all_of(found->second.begin(), found->second.end(), isUnused))
        this->peers.erase(found);
}

/// Opens connections for lanes that have none, while there is room for them.
void HttpClientPool::serveStarved()
{
    while (!this->starved.empty()) {
        const LaneAddress address = this->starved.front();
        Lane &lane = this->lane(address);
        const bool isServed = lane.line.empty() || lane.open > 0;
        if (!isServed && !this->makeRoom())
            return;
        this->starved.pop_front();
        lane.isStarved = false;
        if (!isServed)
            this->startNext(lane, this->open(address, lane));
    }
}

void HttpClientPool::dropIdle(const std::string &peer)
{
    for (Lane &lane : this->peers[peer]) {
        while (!lane.idle.empty())
            this->forget(*lane.idle.back());
    }
}

void HttpClientPool::clear()
{
    for (auto &[address, peer] : this->peers) {
        for (Lane &lane : peer) {
            lane.idle.clear();
            lane.line.clear();
        }
    }
    this->idle.clear(); // each of them holds the pool
}

} // namespace guavavalve::internal
