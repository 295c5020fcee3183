#pragma once

#include "core/clock.h"
#include "decisions/decayingrate.h"
#include "decisions/ledger.h"
#include "decisions/movingmean.h"

#include <array>
#include <vector>

namespace guavavalve::internal {

/// Keeps some targets for prompt work only, as many as its arrivals call for. With an offered
/// load of `a` tasks (arrivals a second by mean run time, Little's law) `a + 3 sqrt(a) + 1` of
/// them fit: square-root staffing (Halfin and Whitt, 1981). Whole targets, so that the room kept
/// is not crumbs on each target, which would take room from large tasks everywhere.
class Headroom
{
public:
    explicit Headroom(Ledger &ledger);

    void promptArrived(const Resources &charge, Instant now);
    void promptEnded(Microseconds runTime);

    /// Takes targets in or lets them go, a few at a time.
    void update(Instant now);

    std::uint32_t targets() const { return static_cast<std::uint32_t>(this->pool.size()); }

private:
    Resources meanCharge() const;
    double wantedTasks(Instant now) const;
    double capacityOf(const TargetRecord &target, const Resources &charge) const;
    Index pick(const Resources &charge);
    void takeIn(Index target);
    void letGo(std::size_t position);

    Ledger &ledger;
    DecayingRate arrivals;
    std::array<MovingMean, resourceKindCount> charges;
    MovingMean runSeconds;
    std::vector<Index> pool;
    std::array<std::uint32_t, 64> domains{}; ///< targets of the pool in each failure domain
    Index cursor = 0;
};

} // namespace guavavalve::internal
