#include "runtime/httperror.h"

#include <nlohmann/json.hpp>

namespace guavavalve {

int httpStatus(const Error &error)
{
    switch (error.code) {
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
    case ErrorCode::WriteRefused:
    case ErrorCode::InUse:
        return 503;
    case ErrorCode::DeadlineExceeded:
        // Not started in time: the service is unavailable. Not finished in time: gateway timeout.
        return error.ran == Ran::No ? 503 : 504;
    case ErrorCode::Corrupt:
    case ErrorCode::Internal:
        break;
    }
    return 500;
}

void setRetryAfter(HttpResponse &response, std::int64_t retryAfterMs)
{
    constexpr std::int64_t msPerSecond = 1000;
    if (retryAfterMs > 0) {
        response.headers["Retry-After"] =
            std::to_string((retryAfterMs + msPerSecond - 1) / msPerSecond);
    }
}

HttpResponse errorResponse(const Error &error)
{
    HttpResponse response;
    response.status = httpStatus(error);
    const std::int64_t retryAfterMs = error.retryAfter.count();
    const nlohmann::json body{{"error", enumName(errorCodeNames, error.code)},
                              {"message", error.message},
                              {"ran", enumName(ranNames, error.ran)},
                              {"retryAfterMs", retryAfterMs}};
    // A message may quote bytes of the request that are not valid UTF-8.
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    setRetryAfter(response, retryAfterMs);
    return response;
}

} // namespace guavavalve
