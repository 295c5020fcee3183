#pragma once

#include "workflows/internal/planroom.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace guavavalve::workflows::internal {

/// Finds less urgent tasks that give way to a step.
///
/// Only tasks that save their progress are stopped, and no member of a gang: a stopped one goes on
/// elsewhere from where it was, and costs the time of restoring it (0.1 to 0.6 s).
class RoomMaker
{
public:
    RoomMaker(const PlanInput &input, PlanRoom &room);

    std::optional<Preemption> make(const ReadyStep &step);

private:
    struct Victim
    {
        TaskAddress task;
        Resources need;
        std::uint32_t priority = 0;
    };
    struct Eviction
    {
        std::vector<Victim> victims;
        std::int64_t milliCores = 0; ///< of the victims
    };

    const std::vector<Victim> &victimsOn(LifeNumber life);
    std::optional<Eviction> evictionFor(const ReadyStep &step, const OpenTarget &target);
    void evict(const ReadyStep &step, OpenTarget &target, const Eviction &eviction,
               Preemption &preemption);

    const PlanInput &input;
    PlanRoom &room;
    std::map<LifeNumber, std::vector<Victim>> byLife;
    std::set<TaskAddress> taken;
    std::size_t searches = 0;
};

} // namespace guavavalve::workflows::internal
