#pragma once

#include <set>
#include <string>

namespace guavavalve {

class Metrics;
class ReplicaPart;

/// The controller's gauges: teams, targets, packing. A replica that does not lead shows zeros: what
/// it showed as controller is no longer true, and a series once made stays.
class ControllerMetrics
{
public:
    /// Not from several threads at once.
    void refresh(ReplicaPart &replica, Metrics &into);

private:
    void showZeros(Metrics &into) const;

    std::set<std::string> teams; ///< that have been shown
};

} // namespace guavavalve
