#pragma once

#include "decisions/policy.h"
#include "decisions/targetinfo.h"
#include "decisions/taskrequest.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace guavavalve::bench {

/// One kind of work that callers hand in.
struct WorkKind
{
    WorkClass workClass = WorkClass::Batch;
    Resources need; ///< what its tasks really need
    std::uint32_t tasks = 1; ///< of a job
    double runSeconds = 1.0; ///< mean of the real run time
    double part = 0.0; ///< of the offered load
};

/// A cell with its teams and the work they hand in.
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

/// The size to design for: \a targets in nine failure domains, two accelerators a target on the
/// average, and \a teams teams.
Deployment largeFleet(std::uint32_t targets, std::uint32_t teams);

} // namespace guavavalve::bench
