#include "decisions/reservations.h"

#include <algorithm>

namespace guavavalve::internal {

namespace {

/// To make one reservation, a few targets per task are scanned, but at least and at most these
/// numbers. The maximum bounds the time of a decision on a large fleet.
constexpr Index minTargetsScanned = 512;
constexpr Index maxTargetsScanned = 4096;
constexpr Index targetsScannedPerTask = 4;
constexpr std::size_t maxBackfillScanned = 64;
/// Reserved targets are partly idle until they have drained, so a small fleet has fewer
/// reservations at a time.
constexpr std::uint32_t targetsPerReservation = 24;
/// Assumed for a task whose run time is neither declared nor learned.
constexpr Microseconds defaultRunTime = std::chrono::minutes(5);
constexpr Microseconds defaultServiceRunTime = std::chrono::hours(1);
/// Delay before a queue for which nothing could be reserved is tried again, so that others get a
/// turn.
constexpr Microseconds retryAfter = std::chrono::seconds(1);
/// A reservation whose work has not started is replanned once it is overdue by the preemption
/// delay divided by this.
constexpr int replanDelayDivisor = 8;
/// Upper bound of the expected time until a reservation is ready, as used for replanning. With
/// unknown run times the estimate is five minutes or an hour. Without this bound, headroom for
/// prompt work that is added to the reserved targets can block the only reservation of a small cell
/// for four minutes, and with it all other large jobs.
constexpr Microseconds maxExpectedDelay = std::chrono::seconds(10);
/// A queue whose team is at or below the mean rank gets a reservation after waiting for its
/// preemption delay divided by this, or for maxReserveDelay if that is shorter.
constexpr int reserveDelayDivisor = 4;
/// Any queue gets a reservation after waiting for this many times its preemption delay.
constexpr int overdueDelayFactor = 2;
constexpr Microseconds maxReserveDelay = std::chrono::seconds(2);
/// Exceeds any urgency that is derived from a share.
constexpr double overdueUrgency = 100.0;

} // namespace

Reservations::Reservations(Ledger &sharedLedger)
    : ledger(sharedLedger)
{}

double Reservations::meanRank() const
{
    double sum = 0.0;
    std::size_t teams = 0;
    for (Index team = 0; team < this->ledger.teams.limit(); ++team) {
        sum += this->ledger.teams[team].rank;
        teams += this->ledger.teams[team].running > 0 ? 1 : 0;
    }
    return sum / static_cast<double>(std::max<std::size_t>(teams, 1));
}

double Reservations::urgency(const WorkQueue &queue, double mean, Instant now) const
{
    const Milliseconds preemptionDelay =
        this->ledger.policy.of(queue.key.workClass).preemptionDelay;
    const TeamRecord &team = this->ledger.teams[queue.key.team];
    if (queue.reservation != noIndex || now - queue.reservationTriedAt < retryAfter
        || queue.key.workClass == WorkClass::Prompt || preemptionDelay.count() == 0
        || !this->ledger.withinLimit(team, queue.charge))
        return 0.0;
    const Microseconds waited = now - queue.blockedSince;
    // After this long a queue gets its turn whatever its team's share is. Otherwise a large job of
    // a team that always has small work running would starve.
    if (waited >= preemptionDelay * overdueDelayFactor) {
        return overdueUrgency
            + std::chrono::duration<double>(waited).count()
            / std::chrono::duration<double>(preemptionDelay).count();
    }
    if (waited < std::min<Microseconds>(preemptionDelay / reserveDelayDivisor, maxReserveDelay)
        || team.rank > mean)
        return 0.0;
    return 1.0 + (mean - team.rank) / std::max(mean, 1e-12);
}

Index Reservations::mostUrgent(Instant now) const
{
    const double mean = this->meanRank();
    Index best = noIndex;
    double highest = 0.0;
    for (const Index index : this->ledger.blocked) {
        const double urgent = this->urgency(this->ledger.queues[index], mean, now);
        if (urgent > highest) {
            highest = urgent;
            best = index;
        }
    }
    return best;
}

void Reservations::update(Instant now)
{
    for (Reservation &reservation : this->slots) {
        if (reservation.queue == noIndex)
            continue;
        const WorkQueue &queue = this->ledger.queues[reservation.queue];
        const Milliseconds preemptionDelay =
            this->ledger.policy.of(queue.key.workClass).preemptionDelay;
        // Run times are often wrong, and headroom may have been added to a target in the meantime.
        const Instant dueAt =
            std::min<Instant>(reservation.readyAt, reservation.madeAt + maxExpectedDelay);
        if (queue.count == 0 || now - dueAt > preemptionDelay / replanDelayDivisor)
            this->drop(reservation);
    }
    const std::size_t maxActive = std::clamp<std::size_t>(
        this->ledger.fleet.nonDepartingTargets() / targetsPerReservation, 1, maxReservations);
    if (this->active >= maxActive)
        return;
    const Index queue = this->mostUrgent(now);
    if (queue == noIndex)
        return;
    const auto unused = std::find_if(this->slots.begin(), this->slots.end(),
                                     [](const auto &slot) { return slot.queue == noIndex; });
    this->reserve(queue, static_cast<Index>(unused - this->slots.begin()), now);
}

Instant Reservations::expectedEnd(const TaskRecord &task, Instant now) const
{
    const WorkQueue &queue = this->ledger.queues[task.queue];
    Microseconds runTime = queue.profile.expectedRunTime(task.declaredRunTime);
    if (runTime.count() == 0) {
        const bool service = queue.key.workClass == WorkClass::Service;
        runTime = service ? defaultServiceRunTime : defaultRunTime;
    }
    return std::max(now, task.placedAt + runTime);
}

Reservations::Candidate Reservations::candidate(Index index, const Resources &charge,
                                                Instant now) const
{
    const TargetRecord &target = this->ledger.fleet[index];
    Candidate candidate;
    candidate.target = index;
    candidate.freeAt = now;
    Resources room = target.sharedFree();
    if (!charge.fitsInto(room)) {
        // Headroom for prompt work is not available. Services may run indefinitely, so targets
        // without one sort first; if all targets have one, some of them have to be drained.
        room = target.info.total - target.headroom;
        for (const Index taskIndex : target.tasks) {
            const TaskRecord &task = this->ledger.tasks[taskIndex];
            const WorkClass workClass = this->ledger.queues[task.queue].key.workClass;
            if (workClass != WorkClass::Prompt)
                candidate.freeAt = std::max(candidate.freeAt, this->expectedEnd(task, now));
        }
    }
    while (charge.fitsInto(room) && candidate.capacity < 1024) {
        ++candidate.capacity;
        room -= charge;
    }
    return candidate;
}

bool Reservations::reserve(Index queueIndex, Index slot, Instant now)
{
    WorkQueue &queue = this->ledger.queues[queueIndex];
    queue.reservationTriedAt = now;
    const Index limit = this->ledger.fleet.limit();
    std::vector<Candidate> candidates;
    const Index seen =
        std::min({limit, maxTargetsScanned,
                  std::max(minTargetsScanned, queue.key.gangSize * targetsScannedPerTask)});
    for (Index i = 0; i < seen; ++i) {
        this->cursor = (this->cursor + 1) % limit;
        const Availability availability = this->ledger.fleet[this->cursor].availability();
        if (availability != Availability::Normal)
            continue;
        const Candidate found = this->candidate(this->cursor, queue.charge, now);
        if (found.capacity > 0)
            candidates.push_back(found);
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return a.freeAt < b.freeAt || (a.freeAt == b.freeAt && a.target < b.target);
    });
    std::size_t used = 0;
    std::uint32_t capacity = 0;
    while (used < candidates.size() && capacity < queue.key.gangSize)
        capacity += candidates[used++].capacity;
    if (capacity < queue.key.gangSize)
        return false; // room reserved for only part of a gang would stay idle
    candidates.resize(used);
    Reservation &reservation = this->slots[slot];
    reservation.queue = queueIndex;
    reservation.madeAt = now;
    reservation.readyAt = candidates.back().freeAt;
    queue.reservation = slot;
    ++this->active;
    for (const Candidate &candidate : candidates) {
        reservation.targets.push_back(candidate.target);
        this->ledger.fleet[candidate.target].reservation = slot;
        this->ledger.fleet.refresh(candidate.target);
        this->ledger.markFreed(candidate.target); // so that the reservation's queue is tried on it
    }
    queue.reason = Reason::GangReserved;
    return true;
}

void Reservations::drop(Index queue)
{
    const Index slot = this->ledger.queues[queue].reservation;
    if (slot != noIndex)
        this->drop(this->slots[slot]);
}

void Reservations::drop(Reservation &reservation)
{
    for (const Index index : reservation.targets) {
        TargetRecord &target = this->ledger.fleet[index];
        target.reservation = noIndex;
        this->ledger.fleet.refresh(index);
        this->ledger.markFreed(index);
    }
    reservation.targets.clear();
    this->ledger.queues[reservation.queue].reservation = noIndex;
    reservation.queue = noIndex;
    --this->active;
}

bool Reservations::admits(const WorkQueue &queue, const TargetRecord &target,
                          Microseconds declaredRunTime, Instant now) const
{
    if (queue.reservation == target.reservation)
        return true;
    const Microseconds runTime = queue.profile.expectedRunTime(declaredRunTime);
    return runTime.count() > 0 && queue.key.workClass != WorkClass::Service
        && now + runTime <= this->slots[target.reservation].readyAt;
}

Index Reservations::findBackfill(const WorkQueue &queue, Microseconds declaredRunTime, Instant now)
{
    std::size_t seen = 0;
    for (std::size_t i = 0; i < this->slots.size(); ++i) {
        const Reservation &reservation =
            this->slots[(this->backfillCursor + i) % this->slots.size()];
        for (const Index index : reservation.targets) {
            if (++seen > maxBackfillScanned) {
                this->backfillCursor = (this->backfillCursor + i) % this->slots.size();
                return noIndex;
            }
            const TargetRecord &target = this->ledger.fleet[index];
            if (target.availability() == Availability::Reserved
                && queue.charge.fitsInto(target.sharedFree())
                && this->admits(queue, target, declaredRunTime, now))
                return index;
        }
    }
    return noIndex;
}

} // namespace guavavalve::internal
