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

/// The connections of an HttpClient: which call goes out on which of them, and which wait.
///
/// Each peer has two lanes, one for long polls and one for all other calls. A call takes an idle
/// connection of its lane, or opens one, or waits in the lane's line. A lane without a connection
/// is starved while the client has as many as it may: it gets the next one that comes free.
class HttpClientPool : public HttpClientConnectionOwner,
                       public std::enable_shared_from_this<HttpClientPool>
{
public:
    HttpClientPool(std::shared_ptr<IoLoop> loop, HttpClientOptions options);

    void call(const std::string &address, HttpClient::Call call, Instant deadline,
              Done<HttpResponse> done);
    /// Lets go of everything that is idle or waits; the client is gone.
    void clear();

    const HttpClientStatistics &statistics() const { return this->counted; }

    void settled(const std::shared_ptr<HttpClientConnection> &connection) override;
    void closed(const std::shared_ptr<HttpClientConnection> &connection, bool isSilent) override;

private:
    struct WaitingCall
    {
        HttpClient::Call call;
        Instant overdueAt{};
        Done<HttpResponse> done;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    using Line = std::multimap<std::uint32_t, std::shared_ptr<WaitingCall>>; ///< by urgency

    struct Lane
    {
        std::vector<std::shared_ptr<HttpClientConnection>> idle;
        std::size_t open = 0; ///< connections, in use or idle
        bool isStarved = false; ///< it stands in the list of starved lanes
        Line line;
    };
    using Peer = std::array<Lane, 2>;
    struct LaneAddress
    {
        std::string peer;
        bool isForLongPolls = false;
    };

    Lane &lane(const LaneAddress &address);
    std::size_t maxOpen(const LaneAddress &address) const;
    std::shared_ptr<HttpClientConnection> takeIdle(Lane &lane);
    std::shared_ptr<HttpClientConnection> open(const LaneAddress &address, Lane &lane);
    bool makeRoom();
    void wait(const LaneAddress &address, Lane &lane, HttpClient::Call call, Instant deadline,
              Done<HttpResponse> done);
    void overdue(const LaneAddress &address, const std::shared_ptr<WaitingCall> &waiting);
    void startNext(Lane &lane, const std::shared_ptr<HttpClientConnection> &connection);
    void serveStarved();
    void forget(HttpClientConnection &connection);
    void dropIdle(const std::string &peer);
    void forgetUnused(const std::string &peer);

    std::shared_ptr<IoLoop> loop;
    HttpClientOptions options;
    std::unordered_map<std::string, Peer> peers;
    HttpClientConnection::IdleList idle; ///< of all lanes, the longest idle first
    std::deque<LaneAddress> starved;
    HttpClientStatistics counted;
};

} // namespace guavavalve::internal
