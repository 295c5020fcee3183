#pragma once

#include "decisions/policy.h"
#include "decisions/targetinfo.h"
#include "decisions/taskrequest.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace guavavalve::bench {

/// One kind of work that callers submit.
struct WorkKind
{
    WorkClass workClass = WorkClass::Batch;
    Resources need; ///< actual need of a task
    std::uint32_t tasks = 1; ///< tasks of a job
    double runSeconds = 1.0; ///< mean of the actual run time
    double loadFraction = 0.0; ///< fraction of the offered load
};

/// A cell with its teams and the work they submit.
struct Deployment
{
    std::string name;
    std::vector<TargetInfo> targets;
    Policy policy;
    std::vector<WorkKind> kinds;
    Resources total;
};

/// Three failure domains, 48 targets of 16 cores and 32 GB, 8 to a rack, six teams.
Deployment brandvold();

/// Four failure domains, 48 targets of 32 cores and 128 GB, 6 to a rack, six teams.
Deployment cwmMeryw();

/// The design size: \a targets in nine failure domains with two accelerators each on average, and
/// \a teams teams.
Deployment largeFleet(std::uint32_t targets, std::uint32_t teams);

} // namespace guavavalve::bench
