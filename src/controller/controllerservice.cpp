#include "controller/controllerservice.h"

#include "controller/cellcontroller.h"
#include "controller/jobquery.h"
#include "controller/operatorclient.h"
#include "core/codec.h"
#include "replicas/messenger.h"

#include <cereal/types/variant.hpp>

#include <utility>

namespace guavavalve {

namespace {

constexpr Milliseconds operatorTimeout{10000};

/// Serves \a method: decodes its request, and encodes what is handed to the reply.
template<typename Request, typename Reply, typename Action>
void serve(Messenger &messenger, Method method, Action action)
{
    messenger.handle(
        method, [action](const InstanceId &, const std::string &payload, Done<std::string> reply) {
            Result<Request> request = decode<Request>(payload);
            if (!request) {
                reply(request.error());
                return;
            }
            action(std::move(request).value(),
                   Done<Reply>([reply = std::move(reply)](const Result<Reply> &result) {
                       if (!result)
                           reply(result.error());
                       else
                           reply(encode(result.value()));
                   }));
        });
}

} // namespace

void serveController(Messenger &messenger, CellController &controller, OperatorClient &operators)
{
    serve<SubmitRequest, SubmitReply>(messenger, Method::Submit,
                                      [&controller](SubmitRequest request, Done<SubmitReply> done) {
                                          controller.submit(std::move(request), std::move(done));
                                      });
    serve<AttemptEnd, Nothing>(messenger, Method::AttemptEnded,
                               [&controller](AttemptEnd end, Done<Nothing> done) {
                                   controller.attemptEnded(std::move(end), std::move(done));
                               });
    serve<JobQuery, JobStatus>(
        messenger, Method::JobStatus, [&controller](JobQuery query, Done<JobStatus> done) {
            const Instant deadline = monotonicNow() + Milliseconds(query.waitMs);
            controller.jobStatus(std::move(query.team), query.job, query.awaitEnd, deadline,
                                 std::move(done));
        });
    serve<JobQuery, JobStatus>(
        messenger, Method::CancelJob, [&controller](JobQuery query, Done<JobStatus> done) {
            controller.cancelJob(std::move(query.team), query.job, std::move(done));
        });
    serve<std::vector<Announcement>, std::vector<AnnouncementReply>>(
        messenger, Method::Announce,
        [&controller](std::vector<Announcement> announcements,
                      Done<std::vector<AnnouncementReply>> done) {
            controller.announce(std::move(announcements), std::move(done));
        });
    serve<SyncRequest, SyncReply>(messenger, Method::SyncConfiguration,
                                  [&controller](SyncRequest request, Done<SyncReply> done) {
                                      controller.synchronise(std::move(request), std::move(done));
                                  });
    serve<OperatorRequest, OperatorReply>(
        messenger, Method::Operate,
        [&operators](OperatorRequest request, Done<OperatorReply> done) {
            operators.operate(std::move(request), monotonicNow() + operatorTimeout,
                              std::move(done));
        });
}

} // namespace guavavalve
