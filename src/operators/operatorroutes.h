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

/// What the operators' interface needs from the instance that serves it.
struct OperatorRoutesOptions
{
    OperatorClient *client = nullptr; ///< must outlive the server

    /// The identity that \a token, the unmodified bearer token, proves. \errors Unauthenticated.
    std::function<Result<OperatorIdentity>(const std::string &token)> identify;

    /// Forms the replica group through the log of its first member, this instance.
    std::function<void(FormGroupRequest request, Instant deadline, Done<ReplicaStatus> done)> form;

    /// This instance's own view of its replica group, for when no controller is reachable.
    std::function<ReplicaStatus()> ownStatus;

    Clock clock = monotonicNow;
    Milliseconds timeout{10000}; ///< for the controller to answer a request
};

/// Serves all paths below /v1/operators/. Requests are forwarded to the controller, which checks
/// what the operator may read and change.
void addOperatorRoutes(HttpServer &server, OperatorRoutesOptions options);

} // namespace guavavalve
