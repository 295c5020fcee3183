#include "workflows/queries/admissionquerybalancer.h"

#include <algorithm>

namespace guavavalve::workflows {

namespace {

/// Queries expected to take at most this long are short: those about steps that finish within a
/// second take 10 to 25 ms.
constexpr Milliseconds shortQuery{40};
/// Queries expected to take longer than this are long: those about single tasks take up to 150 ms,
/// those about gangs 500 ms and more.
constexpr Milliseconds longQuery{200};
/// The number of instances, divided by this, is reserved for short queries. All short queries
/// together occupy one to two instances, in deployments of 14 as well as of 43 instances.
constexpr std::size_t shortOnlyDivisor = 6;
/// The number of instances, divided by this, is closed to long queries.
constexpr std::size_t noLongDivisor = 3;
/// An instance whose query failed gets no further ones for this long.
constexpr Milliseconds failureBackoff{2000};
/// Maximum number of pending queries per instance, below the 32 that the service queues.
constexpr std::size_t maxPending = 20;
/// Maximum number of pending queries of an instance that has not answered any yet.
constexpr std::size_t maxPendingUnanswered = 2;
/// An answer is overdue this long after its expected time: a slow instance adds 50 ms.
constexpr Milliseconds overdueAfter{100};
/// Work that one instance may have queued at the service. A query that would wait longer is better
/// planned later, with newer data.
constexpr Milliseconds maxBacklog{800};

/// Number of instances at the head of a list of \a count that are closed to a query.
///
/// Guards against short queries that queue behind long ones on every instance: steps of 0.8 s
/// waited for up to 0.7 s while every instance had a query of 0.5 s pending, and for 1 s behind
/// queries of 0.14 s in a full cell of 350 targets.
std::size_t closedInstances(Milliseconds expected, std::size_t count)
{
    if (expected > longQuery)
        return count / noLongDivisor;
    return expected > shortQuery ? count / shortOnlyDivisor : 0;
}

} // namespace

/// Guards against an instance that has crashed or frozen but is still listed as present: a new
/// controller sent the queries for fifteen steps through its frozen predecessor, and each step
/// waited 0.6 s for an answer that could not arrive.
bool AdmissionQueryBalancer::mayQuery(const Load &load, Instant now)
{
    const std::size_t limit = load.hasAnswered ? maxPending : maxPendingUnanswered;
    const bool isOverdue = load.pending > 0 && now > load.busyUntil + overdueAfter;
    return load.pending < limit && !isOverdue && load.busyUntil <= now + maxBacklog;
}

std::optional<InstanceId> AdmissionQueryBalancer::choose(const std::vector<InstanceId> &instances,
                                                         Milliseconds expected, Instant now)
{
    const InstanceId *best = nullptr;
    Load *bestLoad = nullptr;
    Instant bestFreeAt{};
    for (std::size_t i = closedInstances(expected, instances.size()); i < instances.size(); ++i) {
        Load &load = this->loads[instances[i]];
        if (!AdmissionQueryBalancer::mayQuery(load, now))
            continue;
        const Instant freeAt = std::max(now, load.busyUntil);
        const bool isBetter = bestLoad == nullptr || freeAt < bestFreeAt
            || (freeAt == bestFreeAt && load.answeredAt > bestLoad->answeredAt);
        if (isBetter) {
            best = &instances[i];
            bestLoad = &load;
            bestFreeAt = freeAt;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    bestLoad->busyUntil = bestFreeAt + expected;
    ++bestLoad->pending;
    return *best;
}

Instant AdmissionQueryBalancer::busyUntil(const InstanceId &instance) const
{
    const auto found = this->loads.find(instance);
    return found == this->loads.end() ? Instant{} : found->second.busyUntil;
}

void AdmissionQueryBalancer::answered(const InstanceId &instance, bool hasFailed, Instant now)
{
    Load &load = this->loads[instance];
    load.pending -= load.pending > 0 ? 1 : 0;
    load.hasAnswered = !hasFailed;
    if (hasFailed)
        load.busyUntil = now + failureBackoff;
    else
        load.answeredAt = now;
}

} // namespace guavavalve::workflows
