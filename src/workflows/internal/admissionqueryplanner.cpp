#include "workflows/internal/admissionqueryplanner.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace guavavalve::workflows::internal {

namespace {

/// Targets named in one question about single tasks. The objectives of workflows count one question
/// about 30.
constexpr std::size_t maxNamedTargets = 30;
/// The most that the service lets one question name.
constexpr std::size_t longestQuestion = 100;
/// Part of the targets that a step may run on, where nothing has been observed yet.
constexpr double usualPart = 0.3;
/// A gang names no more targets at a time than these questions hold, however full the cell is.
constexpr std::size_t mostQuestionsAtOnce = 4;
/// A gang that may run on targets which, empty, hold this many times its tasks asks about no more:
/// it waits for room on these.
constexpr std::size_t enoughCapacity = 5;
/// While no more than one in so many instances has a question, gangs ask about all targets.
constexpr std::size_t partIdle = 2;
/// Tickets that would run out this soon after the answer are renewed for a gang whose turn is near.
constexpr Milliseconds refreshMargin{200};
/// A gang is asked about for this many times the room that it needs: of ten targets with three
/// admitted on average, one question in seven would find too few at once.
constexpr double spareRoom = 2.5;

/// The \a most targets that come first by their key.
std::vector<IncarnationId> firstTargets(std::vector<std::pair<std::int64_t, IncarnationId>> keyed,
                                        std::size_t most)
{
    most = std::min(most, keyed.size());
    std::partial_sort(keyed.begin(), keyed.begin() + static_cast<std::ptrdiff_t>(most),
                      keyed.end());
    keyed.resize(most);
    std::vector<IncarnationId> incarnations;
    incarnations.reserve(keyed.size());
    for (const auto &[key, incarnation] : keyed)
        incarnations.push_back(incarnation);
    return incarnations;
}

/// How long the service takes for a question that names \a targets, or the most that one may.
Milliseconds askingTime(const ReadyStep &step, std::size_t targets)
{
    const double named = static_cast<double>(std::min(targets, longestQuestion));
    return Milliseconds(
        static_cast<std::int64_t>(step.queue->queryBaseMs + named * step.queue->queryMsPerTarget));
}

} // namespace

std::uint16_t slotsIn(const ReadyStep &step, const Resources &room)
{
    const Resources need = step.spec().reserved();
    std::int64_t slots = step.spec().tasks;
    for (std::size_t i = 0; i < resourceKindCount; ++i) {
        if (need.amounts[i] > 0)
            slots = std::min(slots, std::max<std::int64_t>(0, room.amounts[i]) / need.amounts[i]);
    }
    if (step.spec().maxPerTarget != 0)
        slots = std::min<std::int64_t>(slots, step.spec().maxPerTarget);
    return static_cast<std::uint16_t>(slots);
}

std::uint16_t slotsOn(const ReadyStep &step, const OpenTarget &target)
{
    return slotsIn(step, target.free);
}

AdmissionQueryPlanner::AdmissionQueryPlanner(const PlanInput &input, PlanRoom &room)
    : input(input)
    , room(room)
    , open(input.openQueries)
{}

std::vector<AdmissionQuery> AdmissionQueryPlanner::make(const ReadyStep &step, bool isNearTurn)
{
    std::vector<AdmissionQuery> made = this->decide(step, isNearTurn);
    this->open += made.size();
    return made;
}

/// With so few questions under way a further one keeps no other waiting.
bool AdmissionQueryPlanner::hasIdleAskers() const
{
    return this->open < this->input.querierCount / partIdle;
}

std::vector<AdmissionQuery> AdmissionQueryPlanner::decide(const ReadyStep &step,
                                                          bool isNearTurn) const
{
    const StepAdmissions *known = step.admissions;
    if (known != nullptr && (!known->asked.empty() || this->input.now < known->nextQueryAt))
        return {};
    if (known != nullptr) {
        auto renewal =
            step.spec().gang ? this->renewGang(step, *known) : this->renewSingles(step, *known);
        if (!renewal.empty())
            return renewal;
        const bool isEnough = step.spec().gang && this->knowsEnough(step);
        if (isEnough && isNearTurn)
            return this->refreshGang(step, *known);
        if (isEnough && !this->hasIdleAskers())
            return {};
    }
    return this->explore(step);
}

/// A gang's tickets are renewed only when the targets known to be admitted have room for all of
/// it, for just as many of them as it takes; and that room is kept until the answer is there.
///
/// Guards against questions that cannot help: one costs half a second and more, and gangs that
/// asked whenever their tickets ran out kept two thirds of the service's time for themselves.
std::vector<AdmissionQuery> AdmissionQueryPlanner::renewGang(const ReadyStep &step,
                                                             const StepAdmissions &known) const
{
    std::vector<std::pair<std::uint16_t, IncarnationId>> withRoom;
    for (const auto &[incarnation, admission] : known.admitted) {
        const OpenTarget *target = this->room.find(incarnation);
        if (target == nullptr || !PlanRoom::mayRun(step, *target))
            continue;
        if (const std::uint16_t slots = slotsOn(step, *target); slots > 0)
            withRoom.emplace_back(slots, incarnation);
    }
    std::sort(withRoom.rbegin(), withRoom.rend());
    std::vector<AdmissionQuery> made;
    std::size_t found = 0;
    const std::size_t wanted = step.progress().tasks.size();
    for (const auto &[slots, incarnation] : withRoom) {
        if (found >= wanted)
            break;
        if (made.empty() || made.back().targets.size() >= longestQuestion)
            made.push_back({step.address, {}, {}});
        const auto taken = static_cast<std::uint16_t>(std::min<std::size_t>(slots, wanted - found));
        made.back().targets.push_back(incarnation);
        made.back().claim[incarnation] = taken;
        found += taken;
    }
    if (found < wanted)
        return {};
    return made;
}

/// Tickets on more targets than the gang needs, where room may come free while they are good.
///
/// Guards against room that has gathered and stands empty while the tickets for it are renewed.
std::vector<AdmissionQuery> AdmissionQueryPlanner::refreshGang(const ReadyStep &step,
                                                               const StepAdmissions &known) const
{
    const std::size_t wanted = enoughCapacity * step.progress().tasks.size();
    const Instant goodUntil =
        this->input.now + askingTime(step, known.admitted.size()) + refreshMargin;
    std::vector<std::pair<std::int64_t, IncarnationId>> expiring;
    std::size_t slots = 0;
    for (const auto &[incarnation, admission] : known.admitted) {
        const OpenTarget *target = this->room.find(incarnation);
        if (target == nullptr || !PlanRoom::mayRun(step, *target))
            continue;
        if (admission.validUntil > goodUntil)
            slots += slotsIn(step, target->identity->capacity);
        else
            expiring.emplace_back(-target->free[ResourceKind::MilliCores], incarnation);
    }
    std::vector<AdmissionQuery> made;
    for (const IncarnationId incarnation :
         firstTargets(expiring, mostQuestionsAtOnce * longestQuestion)) {
        if (slots >= wanted)
            break;
        if (made.empty() || made.back().targets.size() >= longestQuestion)
            made.push_back({step.address, {}, {}});
        made.back().targets.push_back(incarnation);
        slots += slotsIn(step, this->room.find(incarnation)->identity->capacity);
    }
    return made;
}

/// True if the targets that are known to be admitted, were they empty, held the gang several times
/// over.
///
/// Guards against gangs that ask about a whole cell while it is full: what they lack is room.
bool AdmissionQueryPlanner::knowsEnough(const ReadyStep &step) const
{
    std::size_t slots = 0;
    for (const auto &[incarnation, admission] : step.admissions->admitted) {
        const OpenTarget *target = this->room.find(incarnation);
        if (target != nullptr && PlanRoom::mayRun(step, *target))
            slots += slotsIn(step, target->identity->capacity);
    }
    return slots >= enoughCapacity * step.progress().tasks.size();
}

/// Part of the targets that steps of this queue may run on, as observed.
double AdmissionQueryPlanner::admittedPart(const ReadyStep &step) const
{
    if (this->input.admittedFractions == nullptr)
        return usualPart;
    const auto observed = this->input.admittedFractions->find(step.workflow->spec.queue);
    return observed == this->input.admittedFractions->end() ? usualPart : observed->second.mean();
}

/// For single tasks each ticket on a target with room helps.
std::vector<AdmissionQuery> AdmissionQueryPlanner::renewSingles(const ReadyStep &step,
                                                                const StepAdmissions &known) const
{
    std::vector<std::pair<std::int64_t, IncarnationId>> expired;
    for (const auto &[incarnation, admission] : known.admitted) {
        const OpenTarget *target = this->room.find(incarnation);
        if (target != nullptr && PlanRoom::mayRun(step, *target)
            && !this->room.isAdmitted(step, incarnation) && slotsOn(step, *target) > 0)
            expired.emplace_back(-target->free[ResourceKind::MilliCores], incarnation);
    }
    if (expired.empty())
        return {};
    return {{step.address, firstTargets(expired, maxNamedTargets), {}}};
}

/// Asks about targets that nothing is known of: those with the most room first. What is learned
/// stays true, so full ones are named too while nothing at all is known.
std::vector<AdmissionQuery> AdmissionQueryPlanner::explore(const ReadyStep &step) const
{
    const StepAdmissions *known = step.admissions;
    std::vector<std::pair<std::int64_t, IncarnationId>> unknown;
    for (const OpenTarget &target : this->room.targets()) {
        const bool isKnown = known != nullptr
            && (known->admitted.count(target.incarnation) != 0
                || known->refused.count(target.incarnation) != 0);
        if (isKnown || !PlanRoom::mayRun(step, target))
            continue;
        if (!step.spec().reserved().fitsInto(target.identity->capacity))
            continue;
        if (known != nullptr && !step.spec().gang && slotsOn(step, target) == 0)
            continue;
        unknown.emplace_back(-target.free[ResourceKind::MilliCores], target.incarnation);
    }
    if (unknown.empty())
        return {};
    if (step.spec().gang)
        return this->exploreForGang(step, firstTargets(unknown, unknown.size()));
    return {{step.address, firstTargets(unknown, maxNamedTargets), {}}};
}

/// Names as many targets as probably hold the gang, in as few and as long questions as there may
/// be, all at once.
///
/// Guards against a gang that learns of its targets in turn: a question about 30 targets takes
/// 0.8 s, and in a cell of 350 that was nearly full a gang asked eleven of them, one after the
/// other, before it knew where it could run. One about 100 takes 1.3 s.
std::vector<AdmissionQuery>
AdmissionQueryPlanner::exploreForGang(const ReadyStep &step,
                                      const std::vector<IncarnationId> &unknown) const
{
    const double wanted = spareRoom * static_cast<double>(step.progress().tasks.size());
    const double part = this->admittedPart(step);
    double expected = 0.0;
    std::vector<AdmissionQuery> made;
    for (const IncarnationId incarnation : unknown) {
        if (expected >= wanted)
            break;
        const bool isFull = made.empty() || made.back().targets.size() >= longestQuestion;
        if (isFull && made.size() >= mostQuestionsAtOnce && !this->hasIdleAskers())
            break;
        if (isFull)
            made.push_back({step.address, {}, {}});
        made.back().targets.push_back(incarnation);
        expected += part * slotsOn(step, *this->room.find(incarnation));
    }
    return made;
}

} // namespace guavavalve::workflows::internal
