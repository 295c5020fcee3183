#pragma once

#include "controller/dispatchorder.h"
#include "controller/jobstatus.h"

#include <cstddef>

namespace guavavalve {

class ClusterState;
struct JobRecord;

/// Where \a job stands, in the words of the callers' interface.
JobStatus describeJob(const ClusterState &state, const JobRecord &job);

/// What an entry is to do about the placed task at \a position of \a job.
DispatchOrder describeOrder(const ClusterState &state, const JobRecord &job, std::size_t position,
                            DispatchAction action);

} // namespace guavavalve
