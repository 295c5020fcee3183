#include "workflows/planning/internal/admissionqueryplanner.h"

#include "workflows/planning/internal/speedpreference.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace guavavalve::workflows::internal {

namespace {

/// Targets named in one query about single tasks. The objectives of workflows allow for one query
/// about 30.
constexpr std::size_t maxTargetsForTasks = 30;
/// The service's limit of targets in one query.
constexpr std::size_t maxTargetsPerQuery = 100;
/// Assumed fraction of the targets that admit a step, until some has been observed.
constexpr double defaultAdmittedFraction = 0.3;
/// Queries that a gang sends at a time at most, however full the cell is.
constexpr std::size_t maxQueriesPerGang = 4;
/// A gang sends no more queries once the targets that admit it could hold this many times its tasks
/// if they were empty: it then waits for room on these.
constexpr std::size_t sufficientCapacity = 5;
/// While fewer queries are pending than the number of instances, divided by this, gangs query about
/// all targets.
constexpr std::size_t idleDivisor = 2;
/// Tickets that would expire this soon after the answer are renewed for a gang that is next in
/// line.
constexpr Milliseconds refreshMargin{200};
/// A gang queries about this many times the room that it needs: of ten targets, three of
/// which are admitted on average, one query in seven would find too few at once.
constexpr double roomFactor = 2.5;

/// The \a limit targets with the lowest keys, in the order of their keys.
std::vector<IncarnationId> firstTargets(std::vector<std::pair<std::int64_t, IncarnationId>> keyed,
                                        std::size_t limit)
{
    limit = std::min(limit, keyed.size());
    std::partial_sort(keyed.begin(), keyed.begin() + static_cast<std::ptrdiff_t>(limit),
                      keyed.end());
    keyed.resize(limit);
    std::vector<IncarnationId> incarnations;
    incarnations.reserve(keyed.size());
    for (const auto &[key, incarnation] : keyed)
        incarnations.push_back(incarnation);
    return incarnations;
}

/// Sorts targets for a query: those with room and of suitable speed first, and then those with the
/// most room.
std::int64_t queryOrder(const ReadyStep &step, const OpenTarget &target)
{
    constexpr std::int64_t beyondAnyCapacity = std::int64_t{1} << 40U;
    constexpr std::int64_t beyondAnyPosition = 100;
    const std::int64_t room = target.free[ResourceKind::MilliCores];
    if (slotsOn(step, target) == 0)
        return 2 * beyondAnyPosition * beyondAnyCapacity - room;
    const auto [isTooSlow, position] = speedScore(step, target);
    return (isTooSlow * beyondAnyPosition + position) * beyondAnyCapacity - room;
}

/// Processing time of a query that names \a targets targets, up to the limit of one query.
Milliseconds processingTime(const ReadyStep &step, std::size_t targets)
{
    const double named = static_cast<double>(std::min(targets, maxTargetsPerQuery));
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

std::vector<AdmissionQuery> AdmissionQueryPlanner::plan(const ReadyStep &step, bool isNextInLine)
{
    this->isDenied = false;
    if (this->isExhaustedFor(step))
        return {};
    std::vector<AdmissionQuery> queries = this->decide(step, isNextInLine);
    this->reserveQueriers(step, queries);
    this->open += queries.size();
    return queries;
}

/// Guards against an overloaded leader that prepares queries only to discard them: with thousands
/// of waiting steps, choosing their targets took longer than the rest of the plan.
bool AdmissionQueryPlanner::isExhaustedFor(const ReadyStep &step) const
{
    return this->exhaustedFrom && processingTime(step, 1) >= *this->exhaustedFrom;
}

/// Keeps the queries that an instance can send soon.
void AdmissionQueryPlanner::reserveQueriers(const ReadyStep &step,
                                            std::vector<AdmissionQuery> &queries)
{
    if (!this->input.reserveQuerier)
        return;
    std::size_t kept = 0;
    for (; kept < queries.size(); ++kept) {
        const Milliseconds expected = processingTime(step, queries[kept].targets.size());
        const std::optional<InstanceId> querier = this->input.reserveQuerier(expected);
        if (!querier) {
            this->exhaustedFrom = std::min(expected, this->exhaustedFrom.value_or(expected));
            this->isDenied = true;
            break;
        }
        queries[kept].querier = *querier;
    }
    queries.resize(kept);
}

/// True if so few queries are pending that a further one delays no other.
bool AdmissionQueryPlanner::hasIdleInstances() const
{
    return this->open < this->input.querierCount / idleDivisor;
}

std::vector<AdmissionQuery> AdmissionQueryPlanner::decide(const ReadyStep &step,
                                                          bool isNextInLine) const
{
    const StepAdmissions *known = step.admissions;
    if (known != nullptr && (!known->asked.empty() || this->input.now < known->nextQueryAt))
        return {};
    if (known != nullptr) {
        auto renewal = step.spec().gang ? this->renewGang(step, *known)
                                        : this->renewForSingleTasks(step, *known);
        if (!renewal.empty())
            return renewal;
        const bool knowsEnough = step.spec().gang && this->knowsEnoughTargets(step);
        if (knowsEnough && isNextInLine)
            return this->refreshGang(step, *known);
        if (knowsEnough && !this->hasIdleInstances())
            return {};
    }
    return this->explore(step);
}

/// Renews a gang's tickets only if the admitted targets have room for the whole gang, only on as
/// many targets as it needs, and reserves that room until the answer arrives.
///
/// Guards against queries that cannot help: each takes half a second or more, and gangs that
/// renewed their tickets whenever these expired used two thirds of the service's time.
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
    std::vector<AdmissionQuery> queries;
    std::size_t found = 0;
    const std::size_t wanted = step.progress().tasks.size();
    for (const auto &[slots, incarnation] : withRoom) {
        if (found >= wanted)
            break;
        if (queries.empty() || queries.back().targets.size() >= maxTargetsPerQuery)
            queries.push_back({step.address, {}, {}});
        const auto taken = static_cast<std::uint16_t>(std::min<std::size_t>(slots, wanted - found));
        queries.back().targets.push_back(incarnation);
        queries.back().claim[incarnation] = taken;
        found += taken;
    }
    if (found < wanted)
        return {};
    return queries;
}

/// Renews tickets on more targets than the gang needs, since room may become free on any of them
/// while the tickets are valid.
///
/// Guards against reserved room that stays empty while the tickets for it are renewed.
std::vector<AdmissionQuery> AdmissionQueryPlanner::refreshGang(const ReadyStep &step,
                                                               const StepAdmissions &known) const
{
    const std::size_t wanted = sufficientCapacity * step.progress().tasks.size();
    const Instant neededUntil =
        this->input.now + processingTime(step, known.admitted.size()) + refreshMargin;
    std::vector<std::pair<std::int64_t, IncarnationId>> expiring;
    std::size_t slots = 0;
    for (const auto &[incarnation, admission] : known.admitted) {
        const OpenTarget *target = this->room.find(incarnation);
        if (target == nullptr || !PlanRoom::mayRun(step, *target))
            continue;
        if (admission.validUntil > neededUntil)
            slots += slotsIn(step, target->identity->capacity);
        else
            expiring.emplace_back(-target->free[ResourceKind::MilliCores], incarnation);
    }
    std::vector<AdmissionQuery> queries;
    for (const IncarnationId incarnation :
         firstTargets(expiring, maxQueriesPerGang * maxTargetsPerQuery)) {
        if (slots >= wanted)
            break;
        if (queries.empty() || queries.back().targets.size() >= maxTargetsPerQuery)
            queries.push_back({step.address, {}, {}});
        queries.back().targets.push_back(incarnation);
        slots += slotsIn(step, this->room.find(incarnation)->identity->capacity);
    }
    return queries;
}

/// True if the targets known to be admitted could hold the gang several times over if they were
/// empty.
///
/// Guards against gangs that query about a whole full cell although what they lack is room.
bool AdmissionQueryPlanner::knowsEnoughTargets(const ReadyStep &step) const
{
    std::size_t slots = 0;
    for (const auto &[incarnation, admission] : step.admissions->admitted) {
        const OpenTarget *target = this->room.find(incarnation);
        if (target != nullptr && PlanRoom::mayRun(step, *target))
            slots += slotsIn(step, target->identity->capacity);
    }
    return slots >= sufficientCapacity * step.progress().tasks.size();
}

/// Observed fraction of the targets that admit steps of this queue.
double AdmissionQueryPlanner::admittedFraction(const ReadyStep &step) const
{
    if (this->input.admittedFractions == nullptr)
        return defaultAdmittedFraction;
    const auto observed = this->input.admittedFractions->find(step.workflow->spec.queue);
    return observed == this->input.admittedFractions->end() ? defaultAdmittedFraction
                                                            : observed->second.mean();
}

/// Renews expired tickets wherever there is room: each helps to place a single task.
std::vector<AdmissionQuery>
AdmissionQueryPlanner::renewForSingleTasks(const ReadyStep &step, const StepAdmissions &known) const
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
    return {{step.address, firstTargets(expired, maxTargetsForTasks), {}}};
}

/// Queries about targets without a known answer, those with the most room first. Answers do not
/// change, so the first query also names full targets.
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
        unknown.emplace_back(queryOrder(step, target), target.incarnation);
    }
    if (unknown.empty())
        return {};
    if (step.spec().gang)
        return this->exploreForGang(step, firstTargets(unknown, unknown.size()));
    return {{step.address, firstTargets(unknown, maxTargetsForTasks), {}}};
}

/// Names as many targets as will probably hold the gang, in as few and as large queries as the
/// service allows, all sent at once.
///
/// Guards against a gang that finds its targets through a series of queries: a query about 30
/// targets takes 0.8 s, and in a nearly full cell of 350 targets a gang sent eleven of them, one
/// after the other, before it knew where it could run. A query about 100 targets takes 1.3 s.
std::vector<AdmissionQuery>
AdmissionQueryPlanner::exploreForGang(const ReadyStep &step,
                                      const std::vector<IncarnationId> &unknown) const
{
    const double wanted = roomFactor * static_cast<double>(step.progress().tasks.size());
    const double fraction = this->admittedFraction(step);
    double expected = 0.0;
    std::vector<AdmissionQuery> queries;
    for (const IncarnationId incarnation : unknown) {
        if (expected >= wanted)
            break;
        const bool isFull = queries.empty() || queries.back().targets.size() >= maxTargetsPerQuery;
        if (isFull && queries.size() >= maxQueriesPerGang && !this->hasIdleInstances())
            break;
        if (isFull)
            queries.push_back({step.address, {}, {}});
        queries.back().targets.push_back(incarnation);
        expected += fraction * slotsOn(step, *this->room.find(incarnation));
    }
    return queries;
}

} // namespace guavavalve::workflows::internal
