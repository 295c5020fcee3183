#include "controller/remotecontroller.h"

#include "controller/controllerlink.h"
#include "controller/jobquery.h"
#include "core/codec.h"

#include <cereal/types/variant.hpp>

#include <algorithm>
#include <utility>

namespace guavavalve {

namespace {

// A reply is held back for less than the link's timeout of an attempt, so that it is not taken for
// a missing one.
constexpr Milliseconds maxReplyHold{1000};

template<typename Reply, typename Request>
void callController(ControllerLink &link, Method method, const Request &request, Instant deadline,
                    Done<Reply> done)
{
    link.call(method, encode(request), deadline,
              [done = std::move(done)](Result<std::string> reply) {
                  if (!reply)
                      done(reply.error());
                  else
                      done(decode<Reply>(reply.value()));
              });
}

} // namespace

RemoteController::RemoteController(std::shared_ptr<ControllerLink> link)
    : link(std::move(link))
{}

void RemoteController::submit(SubmitRequest request, Instant deadline, Done<SubmitReply> done)
{
    callController(*this->link, Method::Submit, request, deadline, std::move(done));
}

void RemoteController::attemptEnded(AttemptEnd end, Instant deadline, Done<Nothing> done)
{
    callController(*this->link, Method::AttemptEnded, end, deadline, std::move(done));
}

void RemoteController::jobStatus(std::string team, JobId job, bool awaitEnd, Instant deadline,
                                 Done<JobStatus> done)
{
    JobQuery query;
    query.team = std::move(team);
    query.job = job;
    query.awaitEnd = awaitEnd;
    query.waitMs = maxReplyHold.count();
    if (!awaitEnd) {
        callController(*this->link, Method::JobStatus, query, deadline, std::move(done));
        return;
    }
    // Polled with replies that are held back for a short time each, so that a controller that
    // dies costs at most one such time and not the whole wait.
    const auto link = this->link;
    callController<JobStatus>(
        *link, Method::JobStatus, query, deadline,
        [link, query, deadline, done = std::move(done)](Result<JobStatus> status) mutable {
            const bool pollAgain = status && !status.value().finished && monotonicNow() < deadline;
            if (!pollAgain) {
                done(std::move(status));
                return;
            }
            RemoteController(link).jobStatus(query.team, query.job, true, deadline,
                                             std::move(done));
        });
}

void RemoteController::cancelJob(std::string team, JobId job, Instant deadline,
                                 Done<JobStatus> done)
{
    JobQuery query;
    query.team = std::move(team);
    query.job = job;
    callController(*this->link, Method::CancelJob, query, deadline, std::move(done));
}

void RemoteController::announce(std::vector<Announcement> announcements, Instant deadline,
                                Done<std::vector<AnnouncementReply>> done)
{
    callController(*this->link, Method::Announce, announcements, deadline, std::move(done));
}

void RemoteController::operate(OperatorRequest request, Instant deadline, Done<OperatorReply> done)
{
    callController(*this->link, Method::Operate, request, deadline, std::move(done));
}

void RemoteController::synchronise(const SyncRequest &request, Instant deadline,
                                   Done<SyncReply> done)
{
    callController(*this->link, Method::SyncConfiguration, request, deadline, std::move(done));
}

} // namespace guavavalve
