#pragma once

#include "core/enumnames.h"

#include <cstdint>

namespace guavavalve {

/// Why a decision about a task was made, or why the task still waits.
enum class Reason : std::uint8_t {
    None,
    BestFit, ///< placed where the capacity left over is most usable
    FirstFit, ///< placed on the first target with enough free capacity
    Spread, ///< placed to spread a service over failure domains and racks
    Backfill, ///< placed on reserved capacity, to end before the reservation starts
    Probe, ///< placed to test a quarantined target
    GangComplete, ///< placed together with all tasks of its job
    GangIncomplete, ///< waits: some tasks of its job are not submitted yet, or still run
    GangReserved, ///< waits: capacity is being reserved for all tasks of its job
    GangBroken, ///< stopped: another task of its job has to restart
    NoRoom, ///< waits: no target has enough free capacity
    Headroom, ///< waits: the free capacity is kept for prompt work
    TeamLimit, ///< waits: it would exceed the upper limit of its team
    ShareTurn, ///< waits: its class holds its share while other classes wait
    NotOnFleet, ///< waits: no announced target is large enough any longer
    DeadlinePassed, ///< refused: did not start by its deadline
    DeadlineUnreachable, ///< refused: it is not expected to start by its deadline
    RoomForPrompt, ///< throttled or ended: prompt work needs its resources
    ShareReclaimed, ///< ended: a team below its share reclaims resources
    LimitLowered, ///< ended: its team's upper limit was lowered below its use
    TargetOverused, ///< throttled or ended: measured use exceeds the target's capacity
    RoomForGang, ///< ended: a gang has waited longer than its preemption delay
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
