#pragma once

#include "core/clock.h"
#include "decisions/ledger.h"
#include "decisions/reservation.h"

#include <array>

namespace guavavalve::internal {

/// Reserves targets for a queue's head (a gang or one large task) that would otherwise starve while
/// smaller tasks take all room as it is freed. Other work may use a reserved target only if it is
/// expected to end before the reservation starts (backfill, as in EASY: Lifka, 1995).
class Reservations
{
public:
    explicit Reservations(Ledger &ledger);

    /// Makes a reservation for the most urgent queue, and drops those that are no longer needed.
    void update(Instant now);

    /// Drops the queue's reservation, if any, because its head has been placed or is gone.
    void drop(Index queue);

    const Reservation &operator[](Index reservation) const { return this->slots[reservation]; }

    /// True if work of \a queue may be placed on \a target, whose availability is Reserved.
    bool admits(const WorkQueue &queue, const TargetRecord &target, Microseconds declaredRunTime,
                Instant now) const;

    /// A reserved target on which work of \a queue may be backfilled, or noIndex.
    Index findBackfill(const WorkQueue &queue, Microseconds declaredRunTime, Instant now);

    bool any() const { return this->active > 0; }

private:
    static constexpr std::size_t maxReservations = 64;

    /// A target and the time when it is expected to have room.
    struct Candidate
    {
        Instant freeAt{};
        Index target = noIndex;
        std::uint32_t capacity = 0; ///< tasks that will fit then
    };

    /// Mean rank of the teams that have tasks placed.
    double meanRank() const;

    /// Priority of a blocked queue for a reservation; zero if it must not get one.
    double urgency(const WorkQueue &queue, double mean, Instant now) const;
    Index mostUrgent(Instant now) const;
    /// Returns false if the head would not fit on the scanned targets even once they have drained.
    bool reserve(Index queue, Index slot, Instant now);
    void drop(Reservation &reservation);
    Candidate candidate(Index target, const Resources &charge, Instant now) const;
    Instant expectedEnd(const TaskRecord &task, Instant now) const;

    Ledger &ledger;
    std::array<Reservation, maxReservations> slots;
    std::size_t active = 0;
    std::size_t backfillCursor = 0;
    Index cursor = 0; ///< where the next scan of the fleet starts
};

} // namespace guavavalve::internal
