#pragma once

#include "core/clock.h"
#include "decisions/decayingrate.h"
#include "decisions/ledger.h"
#include "decisions/movingmean.h"

#include <array>
#include <cstddef>
#include <vector>

namespace guavavalve::internal {

/// Keeps room on some targets for prompt work, as much as its arrivals call for. With an offered
/// load of `a` tasks (arrivals a second by mean run time, Little's law) `a + 2.5 sqrt(a) + 1` of
/// them fit: square-root staffing (Halfin and Whitt, 1981). Kept on part of the targets, not as
/// crumbs on each, which would take room from large tasks everywhere; and only an eighth of each
/// of these unless that is not enough, so that other work can use what prompt work leaves (prompt
/// tasks take many slots and few processors).
class Headroom
{
public:
    explicit Headroom(Ledger &ledger);

    void promptArrived(const Resources &charge, Instant now);
    void promptEnded(Microseconds runTime);

    /// Takes targets in or lets them go, a few at a time.
    void update(Instant now);

    std::uint32_t targets() const
    {
        return static_cast<std::uint32_t>(this->ledger.fleet.headroomTargets().size());
    }

private:
    /// What is kept on one target.
    struct Held
    {
        double tasks = 0.0;
        std::size_t domain = 0;
    };

    Resources meanCharge() const;
    double wantedTasks(Instant now) const;
    double capacityOf(const TargetRecord &target, const Resources &charge) const;
    Index pick(const Resources &charge);
    double tasksOn(const TargetRecord &target, const Resources &charge, double wantedEach) const;
    void renew(const Resources &charge, double wantedEach);
    void hold(Index target, const Resources &charge, double wantedEach);
    void letGo(Index target);

    Ledger &ledger;
    DecayingRate arrivals;
    std::array<MovingMean, resourceKindCount> charges;
    MovingMean runSeconds;
    std::array<std::uint32_t, 64> domains{}; ///< targets of the pool in each failure domain
    std::vector<Held> held; ///< by target
    double capacity = 0.0; ///< tasks that all that is kept would hold
    std::size_t renewCursor = 0;
    Index cursor = 0;
};

} // namespace guavavalve::internal
