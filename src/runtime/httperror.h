#pragma once

#include "core/error.h"
#include "runtime/httpserver.h"

namespace guavavalve {

/// The HTTP status code for \a error (RFC 9110, section 15).
int httpStatus(const Error &error);

/// Sets the Retry-After header, rounded up to whole seconds (RFC 9110, section 10.2.3). Does
/// nothing if \a retryAfterMs is 0.
void setRetryAfter(HttpResponse &response, std::int64_t retryAfterMs);

/// Converts \a error to a response with its status, a JSON body {error, message, ran,
/// retryAfterMs} and, if there is a delay, Retry-After.
HttpResponse errorResponse(const Error &error);

} // namespace guavavalve
