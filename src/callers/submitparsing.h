#pragma once

#include "callers/calleridentity.h"
#include "controller/submitrequest.h"
#include "core/error.h"
#include "core/ids.h"

namespace guavavalve {

struct HttpRequest;

/// Parses the job in a caller's request: the body is its payload, the headers hold the rest.
/// \errors InvalidArgument, naming the header, its value and the allowed values.
Result<SubmitRequest> parseSubmit(HttpRequest request, const CallerIdentity &caller,
                                  const InstanceId &entry);

/// Digest of what must match for two requests to be the same: class, need, tasks, repeatable,
/// times and payload.
std::string submitDigest(const SubmitRequest &request);

} // namespace guavavalve
