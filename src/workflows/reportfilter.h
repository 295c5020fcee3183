#pragma once

#include "core/clock.h"
#include "workflows/targetidentity.h"

#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_map>

namespace guavavalve::workflows {

struct TargetReport;

/// Remembers what the controller has lately acknowledged of targets, so that an instance that does
/// not lead can answer a report that says nothing new. Safe from any thread.
///
/// A report says something new if the life, its identity, its readiness or whether it is cold
/// differ from what was acknowledged last. All of that is stored before it is acknowledged, so no
/// later controller can have missed it. Repetitions still reach the controller every passInterval:
/// it forgets targets that are silent.
class ReportFilter
{
public:
    /// Well below the silence after which a controller forgets a target.
    static constexpr Milliseconds passInterval{5000};

    /// True if \a report may be acknowledged without asking the controller.
    bool isRepetition(const TargetReport &report, Instant now) const;
    /// The controller has acknowledged \a report.
    void acknowledged(const TargetReport &report, Instant now);
    /// \a report says what is stored. If nothing was known of its target here, it counts as
    /// acknowledged, one of its next repetitions goes to the controller, and the outcome is true.
    bool acknowledgeStored(const TargetReport &report, Instant now);
    /// The target has said goodbye, or its word was not taken.
    void forget(const std::string &targetName);

    std::size_t size() const;

private:
    struct Known
    {
        TargetIdentity identity;
        bool isReady = false;
        bool isCold = false;
        Instant passAt{}; ///< the next repetition from then on goes to the controller
    };

    void note(const TargetReport &report, Instant passAt, Instant now);
    void dropOld(Instant now);

    mutable std::mutex mutex;
    std::unordered_map<std::string, Known> known; ///< by the target's name
    Instant nextDrop{};
};

} // namespace guavavalve::workflows
