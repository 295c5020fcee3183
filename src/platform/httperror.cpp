#include "platform/httperror.h"

#include "platform/httpserver.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace guavavalve {

int httpStatus(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return 400;
    case ErrorCode::Unauthenticated:
        return 401;
    case ErrorCode::PermissionDenied:
        return 403;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::Conflict:
    case ErrorCode::Cancelled:
        return 409;
    case ErrorCode::NeverFits:
        return 422;
    case ErrorCode::LimitExceeded:
        return 429;
    case ErrorCode::TargetFailed:
    case ErrorCode::IncompleteAnswer:
        return 502;
    case ErrorCode::Unavailable:
    case ErrorCode::NotLeader:
        return 503;
    case ErrorCode::DeadlineExceeded:
        return 504;
    case ErrorCode::Corrupt:
    case ErrorCode::Internal:
        return 500;
    }
    return 500;
}

HttpResponse errorResponse(const Error &error)
{
    HttpResponse response;
    response.status = httpStatus(error.code);
    const nlohmann::json body{{"error", enumName(errorCodeNames, error.code)},
                              {"message", error.message},
                              {"ran", enumName(ranNames, error.ran)}};
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    constexpr std::int64_t millisecondsPerSecond = 1000;
    if (error.retryAfter.count() > 0) {
        const std::int64_t seconds =
            (error.retryAfter.count() + millisecondsPerSecond - 1) / millisecondsPerSecond;
        response.headers["Retry-After"] = std::to_string(seconds);
    }
    return response;
}

Result<std::string> bearerToken(const HttpRequest &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string value = request.header("Authorization");
    if (value.compare(0, scheme.size(), scheme) != 0 || value.size() == scheme.size())
        return failure(ErrorCode::Unauthenticated,
                       "show your key in the header \"Authorization: Bearer KEYID:SECRET\"");
    return value.substr(scheme.size());
}

} // namespace guavavalve
