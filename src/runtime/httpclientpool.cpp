#include "runtime/httpclientpool.h"

#include "runtime/ioloop.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace guavavalve::internal {

HttpClientPool::HttpClientPool(std::shared_ptr<IoLoop> loop, HttpClientOptions options)
    : loop(std::move(loop))
    , options(std::move(options))
{}

HttpClientPool::Lane &HttpClientPool::lane(const LaneKey &key)
{
    return this->peers[key.peer][key.isForLongPolls ? 1 : 0];
}

std::size_t HttpClientPool::maxOpen(const LaneKey &key) const
{
    return key.isForLongPolls ? this->options.maxLongPollsPerPeer : this->options.maxPerPeer;
}

void HttpClientPool::call(const std::string &address, HttpClient::Call call, Instant deadline,
                          Done<HttpResponse> done)
{
    const LaneKey key{address, call.isLongPoll};
    Lane &lane = this->lane(key);
    std::shared_ptr<HttpClientConnection> connection = this->takeIdle(lane);
    if (!connection && lane.open < this->maxOpen(key) && this->ensureCapacity())
        connection = this->open(key, lane);
    if (connection)
        connection->start(std::move(call), deadline, std::move(done));
    else
        this->wait(key, lane, std::move(call), deadline, std::move(done));
}

/// Returns the most recently used idle connection that the peer has not closed, or null.
std::shared_ptr<HttpClientConnection> HttpClientPool::takeIdle(Lane &lane)
{
    while (!lane.idle.empty()) {
        std::shared_ptr<HttpClientConnection> connection = lane.idle.back();
        lane.idle.pop_back();
        this->idle.erase(connection->idlePosition);
        if (connection->isAlive())
            return connection;
        connection->close();
        --lane.open;
        --this->counters.open;
    }
    return nullptr;
}

std::shared_ptr<HttpClientConnection> HttpClientPool::open(const LaneKey &key, Lane &lane)
{
    ++lane.open;
    ++this->counters.open;
    ++this->counters.opened;
    return std::make_shared<HttpClientConnection>(this->shared_from_this(), this->options,
                                                  *this->loop, key.peer, key.isForLongPolls);
}

/// True if another connection may be opened. At the limit, closes the one that has been idle
/// longest.
bool HttpClientPool::ensureCapacity()
{
    if (this->counters.open < this->options.maxConnections)
        return true;
    if (this->idle.empty())
        return false;
    ++this->counters.evicted;
    this->closeIdle(*this->idle.front());
    return true;
}

/// Closes an idle connection and removes it from its lane.
void HttpClientPool::closeIdle(HttpClientConnection &connection)
{
    Lane &lane = this->lane({connection.peer(), connection.isForLongPolls()});
    connection.close();
    const auto place = connection.idlePosition;
    lane.idle.erase(std::remove(lane.idle.begin(), lane.idle.end(), *place), lane.idle.end());
    this->idle.erase(place); // releases the last reference
    --lane.open;
    --this->counters.open;
}

void HttpClientPool::wait(const LaneKey &key, Lane &lane, HttpClient::Call call, Instant deadline,
                          Done<HttpResponse> done)
{
    if (lane.queue.size() >= this->options.maxWaitingPerPeer) {
        ++this->counters.refused;
        this->loop->post([done = std::move(done), peer = key.peer] {
            done(failure(ErrorCode::LimitExceeded, peer + ": too many queued calls"));
        });
        return;
    }
    const auto waiting = std::make_shared<QueuedCall>();
    waiting->deadline = deadline;
    waiting->done = std::move(done);
    waiting->timer = std::make_unique<boost::asio::steady_timer>(
        this->loop->context(), untilDeadline(std::min(deadline, call.sendBy)));
    waiting->timer->async_wait(
        [weak = this->weak_from_this(), key, waiting](boost::system::error_code error) {
            const auto self = weak.lock();
            if (!error && self)
                self->expireQueued(key, waiting);
        });
    const std::uint32_t urgency = call.urgency;
    waiting->call = std::move(call);
    lane.queue.emplace(urgency, waiting);
    ++this->counters.waiting;
    if (lane.open == 0 && !std::exchange(lane.isStarved, true))
        this->starved.push_back(key);
}

/// Fails a call that is still queued at its deadline. Nothing of it was sent.
void HttpClientPool::expireQueued(const LaneKey &key, const std::shared_ptr<QueuedCall> &waiting)
{
    CallQueue &queue = this->lane(key).queue;
    const auto [first, last] = queue.equal_range(waiting->call.urgency);
    const auto found =
        std::find_if(first, last, [&](const auto &one) { return one.second == waiting; });
    if (found == last)
        return; // already sent
    queue.erase(found);
    --this->counters.waiting;
    waiting->done(failure(ErrorCode::LimitExceeded,
                          key.peer + ": no connection became available by the deadline"));
}

void HttpClientPool::startNext(Lane &lane, const std::shared_ptr<HttpClientConnection> &connection)
{
    const std::shared_ptr<QueuedCall> next = lane.queue.begin()->second;
    lane.queue.erase(lane.queue.begin());
    --this->counters.waiting;
    next->timer->cancel();
    connection->start(std::move(next->call), next->deadline, std::move(next->done));
}

void HttpClientPool::completed(const std::shared_ptr<HttpClientConnection> &connection)
{
    Lane &lane = this->lane({connection->peer(), connection->isForLongPolls()});
    if (!lane.queue.empty()) {
        this->startNext(lane, connection);
        return;
    }
    lane.idle.push_back(connection);
    connection->idlePosition = this->idle.insert(this->idle.end(), connection);
    this->serveStarved();
}

void HttpClientPool::closed(const std::shared_ptr<HttpClientConnection> &connection,
                            bool hasTimedOut)
{
    const LaneKey key{connection->peer(), connection->isForLongPolls()};
    Lane &lane = this->lane(key);
    --lane.open;
    --this->counters.open;
    if (hasTimedOut)
        this->closeAllIdle(key.peer);
    if (!lane.queue.empty() && !lane.isStarved && this->ensureCapacity())
        this->startNext(lane, this->open(key, lane));
    else
        this->serveStarved();
    this->eraseIfUnused(key.peer);
}

void HttpClientPool::eraseIfUnused(const std::string &peer)
{
    const auto found = this->peers.find(peer);
    const auto isUnused = [](const Lane &lane) {
        return lane.open == 0 && lane.queue.empty() && !lane.isStarved;
    };
    if (found != this->peers.end()
        && std::all_of(found->second.begin(), found->second.end(), isUnused))
        this->peers.erase(found);
}

/// Opens connections for starved lanes while the limit allows it.
void HttpClientPool::serveStarved()
{
    while (!this->starved.empty()) {
        const LaneKey key = this->starved.front();
        Lane &lane = this->lane(key);
        const bool isServed = lane.queue.empty() || lane.open > 0;
        if (!isServed && !this->ensureCapacity())
            return;
        this->starved.pop_front();
        lane.isStarved = false;
        if (!isServed)
            this->startNext(lane, this->open(key, lane));
    }
}

void HttpClientPool::closeAllIdle(const std::string &peer)
{
    for (Lane &lane : this->peers[peer]) {
        while (!lane.idle.empty())
            this->closeIdle(*lane.idle.back());
    }
}

void HttpClientPool::clear()
{
    for (auto &[address, peer] : this->peers) {
        for (Lane &lane : peer) {
            lane.idle.clear();
            lane.queue.clear();
        }
    }
    this->idle.clear(); // each connection holds a reference to the pool
}

} // namespace guavavalve::internal
