#pragma once

#include "controller/announcement.h"
#include "controller/attemptend.h"
#include "controller/jobstatus.h"
#include "controller/submitreply.h"
#include "controller/submitrequest.h"
#include "core/clock.h"
#include "core/done.h"

#include <vector>

namespace guavavalve {

/// How the packages of an instance reach the controller, wherever it is. Every call ends by its
/// deadline. An error's Ran tells whether the request may have been taken.
class ControllerClient
{
public:
    virtual ~ControllerClient() = default;

    /// Hands in a job; the reply comes once its acceptance is committed.
    virtual void submit(SubmitRequest request, Instant deadline, Done<SubmitReply> done) = 0;

    /// Reports an attempt's end; the reply comes once it is committed.
    virtual void attemptEnded(AttemptEnd end, Instant deadline, Done<Nothing> done) = 0;

    /// Where \a job stands. With \a awaitEnd the reply comes when the job has finished, or at
    /// the deadline with the state it has then.
    virtual void jobStatus(std::string team, JobId job, bool awaitEnd, Instant deadline,
                           Done<JobStatus> done) = 0;

    virtual void cancelJob(std::string team, JobId job, Instant deadline, Done<JobStatus> done) = 0;

    /// Passes on announcements; replies in the same order.
    virtual void announce(std::vector<Announcement> announcements, Instant deadline,
                          Done<std::vector<AnnouncementReply>> done) = 0;
};

} // namespace guavavalve
