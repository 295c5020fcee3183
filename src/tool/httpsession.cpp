#include "tool/httpsession.h"

#include <cpprest/http_client.h>
#include <cpprest/uri.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <system_error>
#include <thread>
#include <utility>

namespace guavavalve {

namespace {

constexpr int firstErrorStatus = 400;

std::string urlOf(const std::string &server)
{
    return server.find("://") == std::string::npos ? "http://" + server : server;
}

/// Whether the connection could not be established, so that nothing was sent.
bool wasNeverSent(const std::error_code &code)
{
    return code == std::errc::connection_refused || code == std::errc::host_unreachable
        || code == std::errc::network_unreachable;
}

Error noResponseError(const std::string &server, const web::http::http_exception &problem)
{
    Error error =
        failure(ErrorCode::Unavailable, "no response from " + server + ": " + problem.what());
    error.ran = wasNeverSent(problem.error_code()) ? Ran::No : Ran::Unknown;
    return error;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

web::http::http_request makeRequest(const ToolRequest &request, const std::string &key)
{
    web::http::http_request result(request.method);
    result.set_request_uri(request.path);
    if (!request.body.empty())
        result.set_body(request.body, "application/json");
    for (const auto &[name, value] : request.headers)
        result.headers()[name] = value;
    if (!key.empty())
        result.headers()["Authorization"] = "Bearer " + key;
    return result;
}

/// Another server may be able to answer if this one is starting, shutting down or disconnected.
bool mayRetryElsewhere(const Error &error)
{
    return error.code == ErrorCode::Unavailable || error.code == ErrorCode::NotLeader;
}

} // namespace

HttpSession::HttpSession(SessionOptions sessionOptions)
    : options(std::move(sessionOptions))
{}

Result<ToolResponse> HttpSession::sendTo(const std::string &server,
                                         const ToolRequest &request) const
{
    web::http::client::http_client_config config;
    config.set_timeout(this->options.timeout);
    try {
        web::http::client::http_client client(urlOf(server), config);
        web::http::http_response received =
            client.request(makeRequest(request, this->options.key)).get();
        ToolResponse response;
        response.status = received.status_code();
        for (const auto &[name, value] : received.headers())
            response.headers[lowerCase(name)] = value;
        // Read as bytes, because the library rejects text in a character set that it does not know.
        const std::vector<unsigned char> bytes = received.extract_vector().get();
        response.body.assign(bytes.begin(), bytes.end());
        if (response.status >= firstErrorStatus)
            return errorOf(response);
        return response;
    } catch (const web::http::http_exception &problem) {
        return noResponseError(server, problem);
    } catch (const std::exception &problem) {
        return failure(ErrorCode::InvalidArgument,
                       "\"" + server
                           + "\" is not the address of an entry instance: " + problem.what());
    }
}

Result<ToolResponse> HttpSession::tryServers(const ToolRequest &request) const
{
    Error last = failure(ErrorCode::InvalidArgument, "no server was given");
    Ran ran = Ran::No;
    for (const std::string &server : this->options.servers) {
        Result<ToolResponse> response = this->sendTo(server, request);
        if (response)
            return response;
        last = response.error();
        // A server may have carried the request out, whatever a later one answers.
        ran = std::max(ran, last.ran);
        if (!mayRetryElsewhere(last))
            break;
    }
    last.ran = ran;
    return last;
}

Result<ToolResponse> HttpSession::send(const ToolRequest &request) const
{
    const Instant deadline = monotonicNow() + this->options.timeout;
    while (true) {
        Result<ToolResponse> response = this->tryServers(request);
        // Retries only a request that certainly did not run, when the server says when to retry.
        if (response || response.error().ran != Ran::No || !mayRetryElsewhere(response.error())
            || response.error().retryAfter.count() <= 0)
            return response;
        const Milliseconds wait = response.error().retryAfter;
        if (monotonicNow() + wait >= deadline)
            return response;
        std::this_thread::sleep_for(wait);
    }
}

std::string encodeForQuery(const std::string &text)
{
    return web::uri::encode_data_string(text);
}

Error errorOf(const ToolResponse &response)
{
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object() || !body.value("error", nlohmann::json()).is_string())
        return failure(ErrorCode::Unavailable,
                       "the server responded with status " + std::to_string(response.status)
                           + " and without a guavavalve error; is it a guavavalve entry instance?");
    Error error;
    const std::string code = body["error"];
    error.code = enumFromName(errorCodeNames, code).value_or(ErrorCode::Internal);
    error.message = body.value("message", code);
    error.ran = enumFromName(ranNames, body.value("ran", "unknown")).value_or(Ran::Unknown);
    if (const auto retryAfter = body.find("retryAfterMs");
        retryAfter != body.end() && retryAfter->is_number_integer())
        error.retryAfter = Milliseconds(retryAfter->get<std::int64_t>());
    return error;
}

} // namespace guavavalve
