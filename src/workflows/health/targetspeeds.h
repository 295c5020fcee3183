#pragma once

#include "core/clock.h"
#include "core/enumnames.h"
#include "workflows/model/ids.h"
#include "workflows/model/targetidentity.h"
#include "workflows/model/targetspeed.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// Whether a target takes less, as much or more time for its tasks than most targets.
enum class SpeedGrade : std::uint8_t { Fast, Usual, Slow };

inline constexpr EnumNames<SpeedGrade, 3> speedGradeNames{{
    {SpeedGrade::Fast, "fast"},
    {SpeedGrade::Usual, "usual"},
    {SpeedGrade::Slow, "slow"},
}};

/// A run that has succeeded, or whose end is foreseen by its progress.
struct ObservedRunTime
{
    IncarnationId incarnation = IncarnationId::None;
    StepAddress step;
    std::string queue;
    Milliseconds took{0};
    Milliseconds estimated{0}; ///< by the caller
};

/// Learns how much time targets take for tasks, relative to one another. Pure; not thread-safe.
///
/// Callers' estimates are off by a factor of two and more, but equally for all tasks of a step. So
/// the work in each step is estimated along with the speeds of its targets, as two independent
/// normal distributions of logarithms: the first run of a step says little about its target, and
/// the further ones say much. How far targets differ at all is learned too; where they are even, an
/// observed difference counts as chance.
class TargetSpeeds
{
public:
    /// Registers a target. \a stored: what was learned of it earlier, or null.
    void add(IncarnationId incarnation, const TargetIdentity &identity, const TargetSpeed *stored);
    void observed(const ObservedRunTime &run);
    void forget(IncarnationId incarnation);
    void clear();

    /// Logarithm of the run time there, relative to that on a usual target; 0 while nothing tells
    /// it apart.
    double logSlowness(IncarnationId incarnation) const;
    /// True if targets differ notably, and a few runs would tell how fast this one is.
    bool isWorthExploring(IncarnationId incarnation) const;
    SpeedGrade grade(IncarnationId incarnation) const;

    /// A target whose grade has changed.
    struct GradeChange
    {
        IncarnationId incarnation = IncarnationId::None;
        SpeedGrade before = SpeedGrade::Usual;
        SpeedGrade now = SpeedGrade::Usual;
        double slowness = 1.0;
    };
    /// Derives the usual speed, how far targets differ, and what is to be expected of targets of
    /// the same kind, from all targets. Takes time in proportion to their number; to be called
    /// about once a second. Returns the targets whose grades have changed since the last call.
    std::vector<GradeChange> refresh();

    /// Takes up to \a limit speeds that differ notably from what was last taken or stored.
    std::vector<TargetSpeed> takeChanges(std::size_t limit, std::int64_t nowMs);

    /// The grades as of the last refresh().
    std::map<SpeedGrade, std::size_t> countByGrade() const;

private:
    /// A normal distribution of a logarithm, from observations alone.
    struct Evidence
    {
        double precision = 0.0; ///< inverse of the variance; 0: no observation
        double weighted = 0.0; ///< mean times precision
    };
    struct Target
    {
        std::string name;
        std::string kind;
        std::string group; ///< targets of equal labels, except the rack, and capacity
        std::string rack;
        Evidence evidence;
        double expected = 0.0; ///< what others of its kind suggest
        int surprises = 0; ///< consecutive observations far above (or, if negative, below) the mean
        SpeedGrade grade = SpeedGrade::Usual; ///< when refresh() was last called
        bool isStored = false;
        double storedMean = 0.0;
        double storedPrecision = 0.0;
    };
    struct StepWork
    {
        double mean = 0.0; ///< logarithm of the run time on a usual target, in milliseconds
        double variance = 0.0;
    };
    struct Distribution
    {
        double mean = 0.0;
        double variance = 0.0;
    };

    Distribution of(const Target &target) const;
    /// 0 if the target differs by fewer standard \a deviations.
    double relativeLog(const Target &target, double deviations) const;
    static SpeedGrade gradeOf(double logSlowness);
    StepWork &workOf(const ObservedRunTime &run);
    static void notice(Target &target, double surprise);
    void expectByGroup(std::string Target::*key);

    std::map<IncarnationId, Target> targets;
    std::map<StepAddress, StepWork> steps;
    std::deque<StepAddress> stepOrder; ///< the oldest first
    std::map<std::string, double> queueBias; ///< mean logarithm of work to estimate
    double spread = 0.0; ///< variance of the logarithm among targets
    double usual = 0.0; ///< median of the logarithm among targets
    IncarnationId nextToStore = IncarnationId::None;
};

} // namespace guavavalve::workflows
