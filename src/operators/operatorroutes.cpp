#include "operators/operatorroutes.h"

#include "controller/operatorclient.h"
#include "operators/operatorjson.h"
#include "operators/operatorrequestparsing.h"
#include "runtime/bearertoken.h"
#include "runtime/httperror.h"
#include "runtime/httpserver.h"

#include <memory>
#include <utility>

namespace guavavalve {

namespace {

using SharedOptions = std::shared_ptr<const OperatorRoutesOptions>;

HttpResponse jsonResponse(const nlohmann::json &body)
{
    HttpResponse response;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

Result<OperatorIdentity> identify(const OperatorRoutesOptions &options, const HttpRequest &request)
{
    BOOST_OUTCOME_TRY(token, bearerToken(request));
    return options.identify(token);
}

void askController(const SharedOptions &options, const OperatorRoute &route,
                   const HttpRequest &request, const HttpReply &reply)
{
    const Result<OperatorIdentity> identity = identify(*options, request);
    if (!identity) {
        reply(errorResponse(identity.error()));
        return;
    }
    Result<OperatorRequestBody> requestBody = route.parse(request);
    if (!requestBody) {
        reply(errorResponse(requestBody.error()));
        return;
    }
    OperatorRequest asked{identity.value(), std::move(requestBody.value())};
    options->client->operate(std::move(asked), options->clock() + options->timeout,
                             [reply](Result<OperatorReply> answer) {
                                 reply(answer ? jsonResponse(toJson(answer.value()))
                                              : errorResponse(answer.error()));
                             });
}

void formGroup(const SharedOptions &options, const HttpRequest &request, const HttpReply &reply)
{
    const Result<OperatorIdentity> identity = identify(*options, request);
    if (!identity) {
        reply(errorResponse(identity.error()));
        return;
    }
    if (!identity.value().isOperator) {
        reply(errorResponse(
            failure(ErrorCode::PermissionDenied, "forming the group requires the cluster secret")));
        return;
    }
    Result<FormGroupRequest> requestBody = parseFormGroup(request);
    if (!requestBody) {
        reply(errorResponse(requestBody.error()));
        return;
    }
    options->form(std::move(requestBody.value()), options->clock() + options->timeout,
                  [reply](Result<ReplicaStatus> status) {
                      reply(status ? jsonResponse(toJson(status.value()))
                                   : errorResponse(status.error()));
                  });
}

/// Replies with this instance's own view of the group, also when there is no controller.
void showOwnStatus(const SharedOptions &options, const HttpRequest &request, const HttpReply &reply)
{
    const Result<OperatorIdentity> identity = identify(*options, request);
    reply(identity ? jsonResponse(toJson(options->ownStatus())) : errorResponse(identity.error()));
}

} // namespace

void addOperatorRoutes(HttpServer &server, OperatorRoutesOptions routesOptions)
{
    const auto options = std::make_shared<const OperatorRoutesOptions>(std::move(routesOptions));
    for (const OperatorRoute &route : operatorRoutes()) {
        server.route(std::string(route.method), std::string(route.path),
                     [options, &route](const HttpRequest &request, const HttpReply &reply) {
                         askController(options, route, request, reply);
                     });
    }
    server.route("POST", "/v1/operators/replicas/form",
                 [options](const HttpRequest &request, const HttpReply &reply) {
                     formGroup(options, request, reply);
                 });
    server.route("GET", "/v1/operators/replicas/own",
                 [options](const HttpRequest &request, const HttpReply &reply) {
                     showOwnStatus(options, request, reply);
                 });
}

} // namespace guavavalve
