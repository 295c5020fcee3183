#pragma once

#include "controller/operatoridentity.h"
#include "controller/replicarequests.h"
#include "core/clock.h"
#include "core/done.h"

#include <functional>
#include <string>

namespace guavavalve {

class HttpServer;
class OperatorClient;

/// What the operators' interface needs of the instance that it runs on.
struct OperatorRoutesOptions
{
    OperatorClient *client = nullptr; ///< must outlive the server

    /// Who holds \a token, the bearer token as it came. \errors Unauthenticated.
    std::function<Result<OperatorIdentity>(const std::string &token)> identify;

    /// Forms the group, by way of its first member's own log.
    std::function<void(FormGroupRequest request, Instant deadline, Done<ReplicaStatus> done)> form;

    /// How this instance sees its group, for when there is no controller to ask.
    std::function<ReplicaStatus()> ownStatus;

    Clock clock = monotonicNow;
    Milliseconds timeout{10000}; ///< for the controller to answer a question
};

/// Serves everything below /v1/operators/. Each question is sent to the controller; what it may
/// read and change is settled there.
void addOperatorRoutes(HttpServer &server, OperatorRoutesOptions options);

} // namespace guavavalve
