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

/// Interface to the controller, independent of the instance on which it runs. Every call completes
/// by its deadline. An error's Ran tells whether the request may have been accepted.
class ControllerClient
{
public:
    virtual ~ControllerClient() = default;

    /// Submits a job; the reply is sent once its acceptance is committed.
    virtual void submit(SubmitRequest request, Instant deadline, Done<SubmitReply> done) = 0;

    /// Reports the end of an attempt; the reply is sent once the end is committed.
    virtual void attemptEnded(AttemptEnd end, Instant deadline, Done<Nothing> done) = 0;

    /// The status of \a job. With \a awaitEnd the reply is sent when the job has finished, or at
    /// the deadline with the status at that time.
    virtual void jobStatus(std::string team, JobId job, bool awaitEnd, Instant deadline,
                           Done<JobStatus> done) = 0;

    virtual void cancelJob(std::string team, JobId job, Instant deadline, Done<JobStatus> done) = 0;

    /// Forwards announcements; the replies are in the same order.
    virtual void announce(std::vector<Announcement> announcements, Instant deadline,
                          Done<std::vector<AnnouncementReply>> done) = 0;
};

} // namespace guavavalve
