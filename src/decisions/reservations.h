#pragma once

#include "core/clock.h"
#include "decisions/ledger.h"
#include "decisions/reservation.h"

#include <array>

namespace guavavalve::internal {

/// Room kept together for a queue's head that would otherwise wait for ever while smaller tasks
/// take each bit of room that comes free: an all-at-once job, or one large task. Others may use
/// the room only if they leave it before the reservation is expected to start (backfill, as in
/// EASY: Lifka, 1995).
class Reservations
{
public:
    explicit Reservations(Ledger &ledger);

    /// Reserves for the most urgent queue, and drops what is no longer wanted.
    void update(Instant now);

    /// The queue's head has been placed or is gone.
    void drop(Index queue);

    const Reservation &operator[](Index reservation) const { return this->slots[reservation]; }

    /// True if work of \a queue may go on \a target, whose zone is Reserved.
    bool admits(const WorkQueue &queue, const TargetRecord &target, Microseconds declaredRunTime,
                Instant now) const;

    /// A reserved target that \a queue may be backfilled on, or noIndex.
    Index findBackfill(const WorkQueue &queue, Microseconds declaredRunTime, Instant now);

    bool any() const { return this->active > 0; }

private:
    static constexpr std::size_t maxReservations = 64;

    /// A target and when it is expected to have room.
    struct Candidate
    {
        Instant freeAt{};
        Index target = noIndex;
        std::uint32_t capacity = 0; ///< tasks of the need that it will hold then
    };

    /// Mean rank of the teams that have something placed.
    double meanRank() const;

    /// How much a blocked queue deserves a reservation; zero: not at all.
    double urgency(const WorkQueue &queue, double mean, Instant now) const;
    Index mostUrgent(Instant now) const;
    /// False if even the drained targets that were seen would not hold the queue's head.
    bool reserve(Index queue, Index slot, Instant now);
    void drop(Reservation &reservation);
    Candidate candidate(Index target, const Resources &charge, Instant now) const;
    Instant expectedEnd(const TaskRecord &task, Instant now) const;

    Ledger &ledger;
    std::array<Reservation, maxReservations> slots;
    std::size_t active = 0;
    std::size_t backfillCursor = 0;
    Index cursor = 0; ///< where the next look over the fleet starts
};

} // namespace guavavalve::internal
