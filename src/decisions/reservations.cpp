#include "decisions/reservations.h"

#include <algorithm>

namespace guavavalve::internal {

namespace {

/// Targets looked at to make one reservation: bounds the time of a decision on a large fleet.
constexpr Index minTargetsSeen = 512;
constexpr Index maxTargetsSeen = 4096;
constexpr Index seenPerTask = 4;
constexpr std::size_t maxBackfillSeen = 64;
/// Room that is kept lies idle while it fills, so a small fleet keeps less at once.
constexpr std::uint32_t targetsPerReservation = 24;
/// Assumed of a task whose run time is neither declared nor learned.
constexpr Microseconds unknownRunTime = std::chrono::minutes(5);
constexpr Microseconds unknownServiceTime = std::chrono::hours(1);
/// A queue for which no room was found to reserve lets others try for this long.
constexpr Microseconds tryAgainAfter = std::chrono::seconds(1);
/// A reservation that has not led to a start is planned anew this part of the patience after it
/// should have.
constexpr int replanAfterPart = 8;
/// How long it is believed that a reservation will be ready only then. Where run times are unknown
/// it is said to be ready in five minutes or an hour; a hold for prompt work that had come to stand
/// on its targets kept the only reservation of a small cell for four minutes, and with it everybody
/// else's large jobs.
constexpr Microseconds longestBelief = std::chrono::seconds(10);
/// A queue waits this part of its patience, but not longer than the time below, before room is
/// kept for it...
constexpr int reserveAfterPart = 4;
/// ...if its team is at or below the mean share, and this many patiences otherwise.
constexpr int patiencesAboveShare = 2;
constexpr Microseconds reserveAfterMost = std::chrono::seconds(2);
/// Above any urgency that comes from a share.
constexpr double overdueUrgency = 100.0;

} // namespace

Reservations::Reservations(Ledger &books)
    : ledger(books)
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
    if (queue.reservation != noIndex || now - queue.reservationTriedAt < tryAgainAfter
        || queue.key.workClass == WorkClass::Prompt || preemptionDelay.count() == 0
        || !this->ledger.withinLimit(team, queue.charge))
        return 0.0;
    const Microseconds waited = now - queue.blockedSince;
    // Whoever has waited this long gets its turn, whatever its team's share: or a large job of a
    // team that always has small work running would wait for ever.
    if (waited >= preemptionDelay * patiencesAboveShare) {
        return overdueUrgency
            + std::chrono::duration<double>(waited).count()
            / std::chrono::duration<double>(preemptionDelay).count();
    }
    if (waited < std::min<Microseconds>(preemptionDelay / reserveAfterPart, reserveAfterMost)
        || team.rank > mean)
        return 0.0;
    return 1.0 + (mean - team.rank) / std::max(mean, 1e-12);
}

Index Reservations::mostUrgent(Instant now) const
{
    const double mean = this->meanRank();
    Index best = noIndex;
    double most = 0.0;
    for (const Index index : this->ledger.blocked) {
        const double urgent = this->urgency(this->ledger.queues[index], mean, now);
        if (urgent > most) {
            most = urgent;
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
        // Run times are often off, and a hold may have come to stand on a target since.
        const Instant dueAt =
            std::min<Instant>(reservation.readyAt, reservation.madeAt + longestBelief);
        if (queue.count == 0 || now - dueAt > preemptionDelay / replanAfterPart)
            this->drop(reservation);
    }
    const std::size_t most = std::clamp<std::size_t>(
        this->ledger.fleet.known() / targetsPerReservation, 1, maxReservations);
    if (this->active >= most)
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
        runTime = service ? unknownServiceTime : unknownRunTime;
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
        // Room kept for prompt work stays so. A service may run for ever: targets without one
        // come first, but where all have one, draining some is all that can be done.
        room = target.info.total - target.hold;
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
    const Index seen = std::min(
        {limit, maxTargetsSeen, std::max(minTargetsSeen, queue.key.gangSize * seenPerTask)});
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
        return false; // room kept for a part of a gang would only lie idle
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
        this->ledger.markFreed(candidate.target); // for the holder to see
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
            if (++seen > maxBackfillSeen) {
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
