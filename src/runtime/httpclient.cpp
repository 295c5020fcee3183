#include "runtime/httpclient.h"

#include "runtime/httpclientpool.h"

#include <utility>

namespace guavavalve {

HttpClient::HttpClient(std::shared_ptr<IoLoop> loop, HttpClientOptions options)
    : pool(std::make_shared<internal::HttpClientPool>(std::move(loop), std::move(options)))
{}

HttpClient::~HttpClient()
{
    this->pool->clear();
}

void HttpClient::call(const std::string &address, Call call, Instant deadline,
                      Done<HttpResponse> done)
{
    this->pool->call(address, std::move(call), deadline, std::move(done));
}

const HttpClientStatistics &HttpClient::statistics() const
{
    return this->pool->statistics();
}

} // namespace guavavalve
