#include "runtime/serviceroutes.h"

#include "runtime/httpserver.h"
#include "runtime/metrics.h"
#include "runtime/readiness.h"

#include <nlohmann/json.hpp>

namespace guavavalve {

namespace {

HttpResponse readinessResponse(const Readiness &readiness)
{
    const std::vector<NotReadyReason> reasons = readiness.reasons();
    nlohmann::json body{{"ready", reasons.empty()}, {"reasons", nlohmann::json::array()}};
    for (NotReadyReason reason : reasons)
        body["reasons"].push_back(std::string(enumName(notReadyReasonNames, reason)));
    HttpResponse response;
    response.status = reasons.empty() ? 200 : 503;
    response.body = body.dump();
    return response;
}

HttpResponse metricsResponse(const Readiness &readiness, Metrics &metrics)
{
    metrics.set(Metric::Ready, readiness.isReady() ? 1.0 : 0.0);
    HttpResponse response;
    response.body = metrics.exposition();
    response.contentType = "text/plain; version=0.0.4; charset=utf-8";
    return response;
}

} // namespace

void addServiceRoutes(HttpServer &server, const Readiness &readiness, Metrics &metrics)
{
    server.route("GET", "/healthz", [](const HttpRequest &, const HttpReply &reply) {
        HttpResponse response;
        response.body = R"({"healthy":true})";
        reply(std::move(response));
    });
    server.route("GET", "/readyz", [&readiness](const HttpRequest &, const HttpReply &reply) {
        reply(readinessResponse(readiness));
    });
    server.route("GET", "/metrics",
                 [&readiness, &metrics](const HttpRequest &, const HttpReply &reply) {
                     reply(metricsResponse(readiness, metrics));
                 });
}

} // namespace guavavalve
