#pragma once

#include <set>
#include <string>

namespace guavavalve {

class Metrics;
class ReplicaRuntime;

/// The controller's gauges: teams, targets, packing. A replica that does not lead exports zeros:
/// its former values are out of date, and a series cannot be removed once it has been created.
class ControllerMetrics
{
public:
    /// Updates the gauges in \a into. Not thread safe.
    void refresh(ReplicaRuntime &replica, Metrics &into);

private:
    void clearGauges(Metrics &into) const;

    std::set<std::string> teams; ///< names of the teams with an exported series
};

} // namespace guavavalve
