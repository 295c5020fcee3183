#pragma once

#include "core/clock.h"
#include "replicas/replicatedlog.h"

#include <cstddef>
#include <vector>

namespace guavavalve::bench {

/// What a load of commands saw.
struct LoadResult
{
    std::size_t commits = 0;
    std::size_t failures = 0;
    double seconds = 0.0;
    std::vector<double> milliseconds; ///< one a commit, sorted

    double perSecond() const { return static_cast<double>(this->commits) / this->seconds; }
    double percentile(double part) const;
};

/// Keeps \a waiting commands of \a bytes under way for \a duration.
LoadResult runClosedLoad(ReplicatedLog &log, std::size_t waiting, std::size_t bytes,
                         Milliseconds duration);

/// Proposes \a perSecond commands of \a bytes for \a duration, evenly.
LoadResult runPacedLoad(ReplicatedLog &log, std::size_t perSecond, std::size_t bytes,
                        Milliseconds duration);

} // namespace guavavalve::bench
