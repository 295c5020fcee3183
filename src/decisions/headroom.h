#pragma once

#include "core/clock.h"
#include "core/decayingrate.h"
#include "decisions/ledger.h"
#include "decisions/movingmean.h"

#include <array>
#include <cstddef>
#include <vector>

namespace guavavalve::internal {

/// Reserves capacity for prompt work on some targets, in proportion to its arrival rate. For an
/// offered load of `a` tasks (arrivals per second times mean run time, Little's law), capacity for
/// `a + 2.5 sqrt(a) + 1` tasks is reserved: square-root staffing (Halfin and Whitt, 1981). It is
/// concentrated on part of the targets, because a small reservation on every target would leave no
/// target entirely free for large tasks. On each of these targets only one eighth is reserved,
/// unless that is not enough, so that other work can use the capacity that prompt work does not
/// need (prompt tasks take many slots and few processors).
class Headroom
{
public:
    explicit Headroom(Ledger &ledger);

    void promptArrived(const Resources &charge, Instant now);
    void promptEnded(Microseconds runTime);

    /// Adds targets to the pool or removes them, a few at a time.
    void update(Instant now);

    std::uint32_t targets() const
    {
        return static_cast<std::uint32_t>(this->ledger.fleet.headroomTargets().size());
    }

private:
    /// The headroom of one target.
    struct TargetHeadroom
    {
        double tasks = 0.0;
        std::size_t domain = 0;
    };

    Resources meanCharge() const;
    double wantedTasks(Instant now) const;
    double capacityOf(const TargetRecord &target, const Resources &charge) const;
    Index pickTarget(const Resources &charge);
    double tasksToReserve(const TargetRecord &target, const Resources &charge,
                          double tasksPerTarget) const;
    void refreshPool(const Resources &charge, double tasksPerTarget);
    void reserveOn(Index target, const Resources &charge, double tasksPerTarget);
    void releaseTarget(Index target);

    Ledger &ledger;
    DecayingRate arrivals;
    std::array<MovingMean, resourceKindCount> charges;
    MovingMean runSeconds;
    std::array<std::uint32_t, 64> domains{}; ///< pool targets in each failure domain
    std::vector<TargetHeadroom> headroomByTarget;
    double capacity = 0.0; ///< prompt tasks that fit into the whole pool
    std::size_t refreshCursor = 0;
    Index cursor = 0;
};

} // namespace guavavalve::internal
