#pragma once

#include "controller/dispatchorder.h"
#include "controller/jobstatus.h"

#include <cstddef>

namespace guavavalve {

class ClusterState;
struct JobRecord;

/// The status of \a job as reported to callers.
JobStatus describeJob(const ClusterState &state, const JobRecord &job);

/// The order for the placed task at \a position of \a job.
DispatchOrder describeOrder(const ClusterState &state, const JobRecord &job, std::size_t position,
                            DispatchAction action);

} // namespace guavavalve
