#pragma once

#include "core/enumnames.h"

#include <cstdint>

namespace guavavalve {

/// Why a task was decided about as it was, or why it still waits.
enum class Reason : std::uint8_t {
    None,
    BestFit, ///< placed where what is left over is used best
    FirstFit, ///< placed on the first target with room
    Spread, ///< placed to spread a service over failure domains and racks
    Backfill, ///< placed on reserved room, which it leaves before the reservation starts
    Probe, ///< placed to try out a quarantined target
    GangComplete, ///< placed with all tasks of its job
    GangIncomplete, ///< waits: not all tasks of its job have been submitted or have ended
    GangReserved, ///< waits: room is being reserved for all tasks of its job
    GangBroken, ///< stopped: another task of its job has to start again
    NoRoom, ///< waits: no target has room for it
    Headroom, ///< waits: the room that is left is kept for prompt work
    TeamLimit, ///< waits: it would take its team over its upper limit
    ShareTurn, ///< waits: teams further below their share go first
    NotOnFleet, ///< waits: no announced target could hold it any longer
    DeadlinePassed, ///< refused: not started by its deadline
    DeadlineUnreachable, ///< refused: the queue ahead of it lasts longer than its deadline
    RoomForPrompt, ///< throttled or ended: prompt work needs its room
    ShareReclaimed, ///< ended: a team below its share takes back what was lent
    LimitLowered, ///< ended: its team's upper limit was lowered below what runs
    TargetOverused, ///< throttled or ended: measured use is more than the target has
    RoomForGang, ///< ended: an all-at-once job has waited beyond its patience
};

inline constexpr EnumNames<Reason, 22> reasonNames{{
    {Reason::None, "none"},
    {Reason::BestFit, "best-fit"},
    {Reason::FirstFit, "first-fit"},
    {Reason::Spread, "spread"},
    {Reason::Backfill, "backfill"},
    {Reason::Probe, "probe"},
    {Reason::GangComplete, "gang-complete"},
    {Reason::GangIncomplete, "gang-incomplete"},
    {Reason::GangReserved, "gang-reserved"},
    {Reason::GangBroken, "gang-broken"},
    {Reason::NoRoom, "no-room"},
    {Reason::Headroom, "headroom"},
    {Reason::TeamLimit, "team-limit"},
    {Reason::ShareTurn, "share-turn"},
    {Reason::NotOnFleet, "not-on-fleet"},
    {Reason::DeadlinePassed, "deadline-passed"},
    {Reason::DeadlineUnreachable, "deadline-unreachable"},
    {Reason::RoomForPrompt, "room-for-prompt"},
    {Reason::ShareReclaimed, "share-reclaimed"},
    {Reason::LimitLowered, "limit-lowered"},
    {Reason::TargetOverused, "target-overused"},
    {Reason::RoomForGang, "room-for-gang"},
}};

} // namespace guavavalve
