#pragma once

#include "controller/operatorrequest.h"
#include "core/clock.h"
#include "core/done.h"

#include <utility>

namespace guavavalve {

/// Interface to the controller for operators' requests, independent of the instance on which it
/// runs. Every call completes by its deadline. The controller checks the identity's permissions
/// itself.
class OperatorClient
{
public:
    virtual ~OperatorClient() = default;

    /// \errors PermissionDenied, Conflict, NotFound, InvalidArgument as documented for the type of
    /// request; Unavailable without a controller, with Ran::Unknown if a change may have been made
    /// (a resend with the same request ID is safe).
    virtual void operate(OperatorRequest request, Instant deadline, Done<OperatorReply> done) = 0;
};

/// Sends \a request and passes on the reply of the type that belongs to it.
template<typename Request>
void ask(OperatorClient &client, OperatorIdentity identity, Request request, Instant deadline,
         Done<typename Request::Reply> done)
{
    OperatorRequest message{std::move(identity), std::move(request)};
    client.operate(std::move(message), deadline,
                   [done = std::move(done)](Result<OperatorReply> reply) {
                       if (!reply) {
                           done(reply.error());
                           return;
                       }
                       auto *value = std::get_if<typename Request::Reply>(&reply.value());
                       if (value == nullptr) {
                           done(failure(ErrorCode::Internal,
                                        "the controller's reply does not match the type of the "
                                        "request; check that all instances run the same release"));
                           return;
                       }
                       done(std::move(*value));
                   });
}

} // namespace guavavalve
