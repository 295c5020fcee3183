#include "workflows/health/targetspeeds.h"

#include <algorithm>
#include <cmath>

namespace guavavalve::workflows {

namespace {

/// Variances of logarithms: of the work in a step, relative to its estimate and to what is usual
/// in its queue; and of the work in one task of it.
constexpr double stepVariance = 0.25;
constexpr double taskVariance = 0.04;
/// Variance among targets: at first, and the limits of what is learned.
constexpr double initialSpread = 0.05;
constexpr double minSpread = 0.0004;
constexpr double maxSpread = 0.25;
/// Weight of the newest run of a queue in its mean ratio of work to estimate.
constexpr double biasWeight = 0.02;
/// A ratio of work to estimate counts as at most this logarithm.
constexpr double maxError = 1.0;
/// Earlier observations of a target lose this fraction of their weight with each new one that is as
/// exact as one of a known step, so that a target that drifts is followed within some 30 runs.
constexpr double decay = 0.03;
/// An observation counts as at most this many standard deviations: a few runs take many times
/// longer for reasons of their own.
constexpr double maxDeviations = 2.5;
/// So many consecutive observations, each this many standard deviations to the same side, mean
/// that the target has changed; earlier observations then lose all but this fraction of their
/// weight.
constexpr int surprisesOfChange = 3;
constexpr double surprisingDeviations = 1.5;
constexpr double weightAfterChange = 0.02;
/// Later incarnations run on the same hardware as a rule, but in other company.
constexpr double weightOfStored = 0.5;
/// Standard deviations by which a target must differ from the usual speed to be treated as
/// different, and to be called fast or slow.
constexpr double treatedDeviations = 1.0;
constexpr double gradedDeviations = 2.0;
/// Logarithm beyond which a target is fast or slow.
constexpr double gradeLimit = 0.1;
/// Runs of a step of several tasks tell enough about a target, so many times the variance among
/// targets.
constexpr double sufficientPrecision = 3.0;
/// Variance among targets below which their differences do not matter.
constexpr double evenSpread = 0.01;
/// A group of targets must have so many members with observations before it tells of the others.
constexpr std::size_t minGroupMembers = 4;
/// Precision with which a target must be known to tell of others: that of one run of a known step.
constexpr double tellingPrecision = 1.0 / taskVariance;
/// Groups explain the speeds if the variance within them is below this fraction of the whole.
constexpr double maxUnexplained = 0.5;
/// Steps whose work is remembered.
constexpr std::size_t maxSteps = 4096;
/// A speed is stored again once it has changed by this logarithm, or is known that much better.
constexpr double notableChange = 0.05;
constexpr double notablePrecision = 2.0;
constexpr double thousand = 1000.0;
constexpr std::size_t maxKindLength = 64; ///< bytes

std::string joined(const TargetIdentity &identity, const std::string &except)
{
    std::string text;
    for (const std::string &label : identity.labels) {
        if (label != except)
            text += label + " ";
    }
    for (const std::int64_t amount : identity.capacity.amounts)
        text += std::to_string(amount) + " ";
    return text.substr(0, maxKindLength);
}

double median(std::vector<double> values)
{
    if (values.empty())
        return 0.0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void TargetSpeeds::add(IncarnationId incarnation, const TargetIdentity &identity,
                       const TargetSpeed *stored)
{
    Target target;
    target.name = identity.name;
    target.kind = joined(identity, {});
    target.group = joined(identity, identity.rack);
    target.rack = identity.rack;
    if (stored != nullptr && stored->kind == target.kind) {
        target.isStored = true;
        target.storedMean = static_cast<double>(stored->logSlowness) / thousand;
        target.storedPrecision = stored->precision;
        target.evidence.precision = weightOfStored * target.storedPrecision;
        target.evidence.weighted = target.evidence.precision * target.storedMean;
    }
    if (this->spread == 0.0)
        this->spread = initialSpread;
    this->targets[incarnation] = std::move(target);
}

TargetSpeeds::Distribution TargetSpeeds::of(const Target &target) const
{
    const double prior = 1.0 / std::max(this->spread, minSpread);
    const double precision = target.evidence.precision + prior;
    return {(target.evidence.weighted + prior * target.expected) / precision, 1.0 / precision};
}

TargetSpeeds::StepWork &TargetSpeeds::workOf(const ObservedRunTime &run)
{
    const auto [found, isNew] = this->steps.try_emplace(run.step);
    if (isNew) {
        const double estimate = std::log(static_cast<double>(run.estimated.count()));
        const auto bias = this->queueBias.find(run.queue);
        found->second = {estimate + (bias == this->queueBias.end() ? 0.0 : bias->second),
                         stepVariance};
        this->stepOrder.push_back(run.step);
        if (this->stepOrder.size() > maxSteps) {
            this->steps.erase(this->stepOrder.front());
            this->stepOrder.pop_front();
        }
    }
    return found->second;
}

void TargetSpeeds::notice(Target &target, double surprise)
{
    if (std::abs(surprise) < surprisingDeviations) {
        target.surprises = 0;
        return;
    }
    const int side = surprise > 0.0 ? 1 : -1;
    target.surprises = target.surprises * side > 0 ? target.surprises + side : side;
    if (std::abs(target.surprises) < surprisesOfChange)
        return;
    target.surprises = 0;
    target.evidence.precision *= weightAfterChange;
    target.evidence.weighted *= weightAfterChange;
}

void TargetSpeeds::observed(const ObservedRunTime &run)
{
    const auto found = this->targets.find(run.incarnation);
    if (found == this->targets.end() || run.took.count() <= 0 || run.estimated.count() <= 0)
        return;
    Target &target = found->second;
    StepWork &work = this->workOf(run);
    const double observed = std::log(static_cast<double>(run.took.count())) - work.mean;
    const Distribution before = this->of(target);
    notice(target,
           (observed - before.mean) / std::sqrt(work.variance + before.variance + taskVariance));
    const Distribution speed = this->of(target);
    const double variance = work.variance + speed.variance + taskVariance;
    const double limit = maxDeviations * std::sqrt(variance);
    const double deviation = std::clamp(observed - speed.mean, -limit, limit);
    const double precision = 1.0 / (work.variance + taskVariance);
    const double kept = 1.0 - decay * precision * taskVariance;
    // By what was observed of the target, without the prior: otherwise a queue that runs on fast
    // targets alone would seem to have less work, and these in turn to be like the others.
    const double ofTarget = target.evidence.precision > 0.0
        ? target.evidence.weighted / target.evidence.precision
        : speed.mean;
    const double estimate = std::log(static_cast<double>(run.estimated.count()));
    double &bias = this->queueBias[run.queue];
    bias += biasWeight
        * (std::clamp(observed + work.mean - ofTarget - estimate - bias, -maxError, maxError));
    target.evidence.precision = kept * target.evidence.precision + precision;
    target.evidence.weighted =
        kept * target.evidence.weighted + precision * (speed.mean + deviation);
    const double gain = work.variance / variance;
    work.mean += gain * deviation;
    work.variance *= 1.0 - gain;
}

void TargetSpeeds::forget(IncarnationId incarnation)
{
    this->targets.erase(incarnation);
}

void TargetSpeeds::clear()
{
    *this = TargetSpeeds();
}

double TargetSpeeds::relativeLog(const Target &target, double deviations) const
{
    const Distribution speed = this->of(target);
    const double difference = speed.mean - this->usual;
    return std::abs(difference) > deviations * std::sqrt(speed.variance) ? difference : 0.0;
}

double TargetSpeeds::logSlowness(IncarnationId incarnation) const
{
    const auto found = this->targets.find(incarnation);
    return found == this->targets.end() ? 0.0 : this->relativeLog(found->second, treatedDeviations);
}

bool TargetSpeeds::isWorthExploring(IncarnationId incarnation) const
{
    const auto found = this->targets.find(incarnation);
    return found != this->targets.end() && this->spread >= evenSpread
        && found->second.evidence.precision * this->spread < sufficientPrecision;
}

SpeedGrade TargetSpeeds::gradeOf(double logSlowness)
{
    if (std::abs(logSlowness) <= gradeLimit)
        return SpeedGrade::Usual;
    return logSlowness < 0.0 ? SpeedGrade::Fast : SpeedGrade::Slow;
}

SpeedGrade TargetSpeeds::grade(IncarnationId incarnation) const
{
    const auto found = this->targets.find(incarnation);
    return found == this->targets.end()
        ? SpeedGrade::Usual
        : gradeOf(this->relativeLog(found->second, gradedDeviations));
}

/// Expects of each target what others with the same value of \a key have shown, if the speeds
/// differ less within such groups than among all targets.
void TargetSpeeds::expectByGroup(std::string Target::*key)
{
    struct Group
    {
        std::size_t members = 0;
        double sum = 0.0;
        double squares = 0.0;
    };
    std::map<std::string, Group> groups;
    Group all;
    for (const auto &[incarnation, target] : this->targets) {
        if (target.evidence.precision < tellingPrecision)
            continue;
        const double mean = target.evidence.weighted / target.evidence.precision;
        for (Group *group : {&groups[target.*key], &all}) {
            ++group->members;
            group->sum += mean;
            group->squares += mean * mean;
        }
    }
    const auto scatter = [](const Group &group) {
        return group.squares - group.sum * group.sum / static_cast<double>(group.members);
    };
    double within = 0.0;
    for (const auto &[name, group] : groups)
        within += scatter(group);
    const bool explains = groups.size() > 1 && all.members >= 2 * minGroupMembers
        && all.members > 2 * groups.size() && within < maxUnexplained * scatter(all);
    if (!explains)
        return;
    for (auto &[incarnation, target] : this->targets) {
        const auto group = groups.find(target.*key);
        if (group != groups.end() && group->second.members >= minGroupMembers)
            target.expected = group->second.sum / static_cast<double>(group->second.members);
    }
}

std::vector<TargetSpeeds::GradeChange> TargetSpeeds::refresh()
{
    std::vector<double> means;
    double sum = 0.0;
    std::size_t observed = 0;
    for (auto &[incarnation, target] : this->targets) {
        if (target.evidence.precision <= 0.0)
            continue;
        const Distribution speed = this->of(target);
        const double difference = speed.mean - target.expected;
        means.push_back(speed.mean);
        sum += difference * difference + speed.variance;
        ++observed;
    }
    if (observed >= minGroupMembers)
        this->spread = std::clamp(sum / static_cast<double>(observed), minSpread, maxSpread);
    this->usual = median(std::move(means));
    for (auto &[incarnation, target] : this->targets)
        target.expected = this->usual;
    this->expectByGroup(&Target::rack);
    this->expectByGroup(&Target::group);
    std::vector<GradeChange> changes;
    for (auto &[incarnation, target] : this->targets) {
        const double relative = this->relativeLog(target, gradedDeviations);
        const SpeedGrade now = gradeOf(relative);
        if (now != target.grade)
            changes.push_back({incarnation, target.grade, now, std::exp(relative)});
        target.grade = now;
    }
    return changes;
}

std::vector<TargetSpeed> TargetSpeeds::takeChanges(std::size_t limit, std::int64_t nowMs)
{
    std::vector<TargetSpeed> changes;
    auto next = this->targets.lower_bound(this->nextToStore);
    for (std::size_t looked = 0; looked < this->targets.size() && changes.size() < limit;
         ++looked, ++next) {
        if (next == this->targets.end())
            next = this->targets.begin();
        Target &target = next->second;
        if (target.evidence.precision <= 0.0)
            continue;
        const double mean = target.evidence.weighted / target.evidence.precision - this->usual;
        const bool isNotable = !target.isStored
            || std::abs(mean - target.storedMean) > notableChange
            || target.evidence.precision > notablePrecision * target.storedPrecision;
        if (!isNotable)
            continue;
        target.isStored = true;
        target.storedMean = mean;
        target.storedPrecision = target.evidence.precision;
        changes.push_back(
            {target.name, target.kind, static_cast<std::int32_t>(std::lround(mean * thousand)),
             static_cast<std::uint32_t>(std::lround(target.evidence.precision)), nowMs});
    }
    this->nextToStore = next == this->targets.end() ? IncarnationId::None : next->first;
    return changes;
}

std::map<SpeedGrade, std::size_t> TargetSpeeds::countByGrade() const
{
    std::map<SpeedGrade, std::size_t> counts;
    for (const auto &[incarnation, target] : this->targets)
        ++counts[target.grade];
    return counts;
}

} // namespace guavavalve::workflows
