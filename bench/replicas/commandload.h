#pragma once

#include "core/clock.h"
#include "replicas/replicatedlog.h"

#include <cstddef>
#include <vector>

namespace guavavalve::bench {

/// The result of a run of commands.
struct LoadResult
{
    std::size_t commits = 0;
    std::size_t failures = 0;
    double seconds = 0.0;
    std::vector<double> milliseconds; ///< latency of each commit, sorted

    double perSecond() const { return static_cast<double>(this->commits) / this->seconds; }
    double percentile(double fraction) const;
};

/// Keeps \a waiting commands of \a bytes in flight for \a duration.
LoadResult runClosedLoad(ReplicatedLog &log, std::size_t waiting, std::size_t bytes,
                         Milliseconds duration);

/// Proposes \a perSecond commands of \a bytes at even intervals for \a duration.
LoadResult runPacedLoad(ReplicatedLog &log, std::size_t perSecond, std::size_t bytes,
                        Milliseconds duration);

} // namespace guavavalve::bench
