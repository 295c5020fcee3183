#pragma once

#include "runtime/httpclientconnection.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavavalve::internal {

/// The connections of an HttpClient. Assigns each call to a connection, or queues it.
///
/// Each peer has two lanes, one for long polls and one for all other calls. A call uses an idle
/// connection of its lane, opens a new one, or waits in the lane's queue. A lane that has queued
/// calls and no connection, because the client is at its connection limit, is starved: it gets the
/// next connection that becomes available.
class HttpClientPool : public HttpClientConnectionOwner,
                       public std::enable_shared_from_this<HttpClientPool>
{
public:
    HttpClientPool(std::shared_ptr<IoLoop> loop, HttpClientOptions options);

    void call(const std::string &address, HttpClient::Call call, Instant deadline,
              Done<HttpResponse> done);
    /// Drops all idle connections and queued calls. Called when the client is destroyed.
    void clear();

    const HttpClientStatistics &statistics() const { return this->counters; }

    void completed(const std::shared_ptr<HttpClientConnection> &connection) override;
    void closed(const std::shared_ptr<HttpClientConnection> &connection, bool hasTimedOut) override;

private:
    struct QueuedCall
    {
        HttpClient::Call call;
        Instant deadline{};
        Done<HttpResponse> done;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    using CallQueue = std::multimap<std::uint32_t, std::shared_ptr<QueuedCall>>; ///< by urgency

    struct Lane
    {
        std::vector<std::shared_ptr<HttpClientConnection>> idle;
        std::size_t open = 0; ///< connections, in use or idle
        bool isStarved = false; ///< the lane is in the list of starved lanes
        CallQueue queue;
    };
    using Peer = std::array<Lane, 2>;
    struct LaneKey
    {
        std::string peer;
        bool isForLongPolls = false;
    };

    Lane &lane(const LaneKey &key);
    std::size_t maxOpen(const LaneKey &key) const;
    std::shared_ptr<HttpClientConnection> takeIdle(Lane &lane);
    std::shared_ptr<HttpClientConnection> open(const LaneKey &key, Lane &lane);
    bool ensureCapacity();
    void wait(const LaneKey &key, Lane &lane, HttpClient::Call call, Instant deadline,
              Done<HttpResponse> done);
    void expireQueued(const LaneKey &key, const std::shared_ptr<QueuedCall> &waiting);
    void startNext(Lane &lane, const std::shared_ptr<HttpClientConnection> &connection);
    void serveStarved();
    void closeIdle(HttpClientConnection &connection);
    void closeAllIdle(const std::string &peer);
    void eraseIfUnused(const std::string &peer);

    std::shared_ptr<IoLoop> loop;
    HttpClientOptions options;
    std::unordered_map<std::string, Peer> peers;
    HttpClientConnection::IdleList idle; ///< of all lanes; the longest idle first
    std::deque<LaneKey> starved;
    HttpClientStatistics counters;
};

} // namespace guavavalve::internal
