#pragma once

#include "controller/operatorrequest.h"
#include "core/clock.h"
#include "core/done.h"

#include <utility>

namespace guavavalve {

/// How the operators' interface reaches the controller, wherever it is. Every call ends by its
/// deadline. The controller checks again what the identity may do.
class OperatorClient
{
public:
    virtual ~OperatorClient() = default;

    /// \errors PermissionDenied, Conflict, NotFound, InvalidArgument as the question's own
    /// comment says; Unavailable without a controller, with Ran::Unknown when a change may have
    /// been made (a resend with the same request identity is safe).
    virtual void operate(OperatorRequest request, Instant deadline, Done<OperatorReply> done) = 0;
};

/// Asks \a question and hands over the reply that belongs to it.
template<typename Question>
void ask(OperatorClient &client, OperatorIdentity identity, Question question, Instant deadline,
         Done<typename Question::Reply> done)
{
    OperatorRequest request{std::move(identity), std::move(question)};
    client.operate(std::move(request), deadline,
                   [done = std::move(done)](Result<OperatorReply> reply) {
                       if (!reply) {
                           done(reply.error());
                           return;
                       }
                       auto *value = std::get_if<typename Question::Reply>(&reply.value());
                       if (value == nullptr) {
                           done(failure(ErrorCode::Internal,
                                        "the controller's reply is of another kind than asked; "
                                        "are all instances of one release?"));
                           return;
                       }
                       done(std::move(*value));
                   });
}

} // namespace guavavalve
