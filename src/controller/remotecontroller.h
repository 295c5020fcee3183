#pragma once

#include "controller/configurationsync.h"
#include "controller/controllerclient.h"
#include "controller/operatorclient.h"

#include <memory>

namespace guavavalve {

class ControllerLink;

/// Calls the controller over a ControllerLink.
class RemoteController : public ControllerClient, public OperatorClient
{
public:
    explicit RemoteController(std::shared_ptr<ControllerLink> link);

    void submit(SubmitRequest request, Instant deadline, Done<SubmitReply> done) override;
    void attemptEnded(AttemptEnd end, Instant deadline, Done<Nothing> done) override;
    void jobStatus(std::string team, JobId job, bool awaitEnd, Instant deadline,
                   Done<JobStatus> done) override;
    void cancelJob(std::string team, JobId job, Instant deadline, Done<JobStatus> done) override;
    void announce(std::vector<Announcement> announcements, Instant deadline,
                  Done<std::vector<AnnouncementReply>> done) override;
    void operate(OperatorRequest request, Instant deadline, Done<OperatorReply> done) override;

    void synchronise(const SyncRequest &request, Instant deadline, Done<SyncReply> done);

private:
    std::shared_ptr<ControllerLink> link;
};

} // namespace guavavalve
