#pragma once

#include "core/clock.h"
#include "workflows/model/targetidentity.h"

#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_map>

namespace guavavalve::workflows {

struct TargetReport;

/// Remembers the reports of targets that the controller acknowledged recently, so that an instance
/// that does not lead can answer a report without new information itself. Thread-safe.
///
/// A report contains new information if the incarnation, its identity, its readiness or whether it
/// is cold differ from the last acknowledged report. All of that is stored before it is
/// acknowledged, so no later controller can have missed it. Repetitions are still forwarded to the
/// controller once every forwardInterval, because it forgets targets that are silent.
class ReportFilter
{
public:
    /// Well below the time of silence after which a controller forgets a target.
    static constexpr Milliseconds forwardInterval{5000};

    /// True if \a report may be acknowledged without asking the controller.
    bool isRepetition(const TargetReport &report, Instant now) const;
    /// Records that the controller has acknowledged \a report.
    void acknowledged(const TargetReport &report, Instant now);
    /// Records that \a report matches the stored state. Returns true if its target was unknown
    /// here: the report then counts as acknowledged, and one of the next repetitions is forwarded
    /// to the controller.
    bool acknowledgeStored(const TargetReport &report, Instant now);
    /// Forgets a target that leaves or whose report was not accepted.
    void forget(const std::string &targetName);

    std::size_t size() const;

private:
    struct Entry
    {
        TargetIdentity identity;
        bool isReady = false;
        bool isCold = false;
        Instant forwardAt{}; ///< the first repetition after this is forwarded to the controller
    };

    void record(const TargetReport &report, Instant forwardAt, Instant now);
    void dropStale(Instant now);

    mutable std::mutex mutex;
    std::unordered_map<std::string, Entry> known; ///< by target name
    Instant nextDrop{};
};

} // namespace guavavalve::workflows
