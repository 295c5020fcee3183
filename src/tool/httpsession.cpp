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

/// Whether the connection could not even be made, so that nothing was sent.
bool wasNeverSent(const std::error_code &code)
{
    return code == std::errc::connection_refused || code == std::errc::host_unreachable
        || code == std::errc::network_unreachable;
}

Error unreachable(const std::string &server, const web::http::http_exception &problem)
{
    Error error =
        failure(ErrorCode::Unavailable, "no answer from " + server + ": " + problem.what());
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

/// Another entry may do better than one that is starting, shutting down or cut off.
bool isWorthTryingElsewhere(const Error &error)
{
    return error.code == ErrorCode::Unavailable || error.code == ErrorCode::NotLeader;
}

} // namespace

HttpSession::HttpSession(SessionOptions sessionOptions)
    : options(std::move(sessionOptions))
{}

Result<ToolAnswer> HttpSession::sendTo(const std::string &server, const ToolRequest &request) const
{
    web::http::client::http_client_config config;
    config.set_timeout(this->options.timeout);
    try {
        web::http::client::http_client client(urlOf(server), config);
        web::http::http_response response =
            client.request(makeRequest(request, this->options.key)).get();
        ToolAnswer answer;
        answer.status = response.status_code();
        for (const auto &[name, value] : response.headers())
            answer.headers[lowerCase(name)] = value;
        // As bytes: the library would refuse a text whose character set it does not know.
        const std::vector<unsigned char> bytes = response.extract_vector().get();
        answer.body.assign(bytes.begin(), bytes.end());
        if (answer.status >= firstErrorStatus)
            return errorOf(answer);
        return answer;
    } catch (const web::http::http_exception &problem) {
        return unreachable(server, problem);
    } catch (const std::exception &problem) {
        return failure(ErrorCode::InvalidArgument,
                       "\"" + server + "\" is not an address of an entry: " + problem.what());
    }
}

Result<ToolAnswer> HttpSession::tryEach(const ToolRequest &request) const
{
    Error last = failure(ErrorCode::InvalidArgument, "no server was given");
    Ran ran = Ran::No;
    for (const std::string &server : this->options.servers) {
        Result<ToolAnswer> answer = this->sendTo(server, request);
        if (answer)
            return answer;
        last = answer.error();
        // What one entry may have done stays open, whatever a further one says.
        ran = std::max(ran, last.ran);
        if (!isWorthTryingElsewhere(last))
            break;
    }
    last.ran = ran;
    return last;
}

Result<ToolAnswer> HttpSession::send(const ToolRequest &request) const
{
    const Instant deadline = monotonicNow() + this->options.timeout;
    while (true) {
        Result<ToolAnswer> answer = this->tryEach(request);
        // Only what was truly not run, and by an entry that says when to come back.
        if (answer || answer.error().ran != Ran::No || !isWorthTryingElsewhere(answer.error())
            || answer.error().retryAfter.count() <= 0)
            return answer;
        const Milliseconds wait = answer.error().retryAfter;
        if (monotonicNow() + wait >= deadline)
            return answer;
        std::this_thread::sleep_for(wait);
    }
}

std::string encodeForQuery(const std::string &text)
{
    return web::uri::encode_data_string(text);
}

Error errorOf(const ToolAnswer &answer)
{
    const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
    if (!body.is_object() || !body.value("error", nlohmann::json()).is_string())
        return failure(ErrorCode::Unavailable,
                       "the server answered with status " + std::to_string(answer.status)
                           + " and no error that this tool knows; is it a guavavalve entry?");
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
