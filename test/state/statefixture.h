#pragma once

#include <catch2/catch.hpp>

#include "state/clusterstate.h"

#include <string>
#include <utility>
#include <vector>

namespace guavavalve {

/// A state with an operator key, two teams with one key each, and a target.
struct StateFixture
{
    ClusterState state{3};
    int requests = 0;

    StateFixture()
    {
        REQUIRE(this->grant("root", "", KeyRole::Operator).has_value());
        REQUIRE(this->write("cell", 0, "{}").has_value());
        REQUIRE(
            this->write("team.mill", 0, R"({"share": 100, "limit": {"slots": 6}})").has_value());
        REQUIRE(this->write("team.tours", 0, "{}").has_value());
        REQUIRE(this->grant("mill-key", "mill", KeyRole::Team).has_value());
        REQUIRE(this->grant("tours-key", "tours", KeyRole::Team).has_value());
        REQUIRE(this->registerTarget("t1", 1).has_value());
    }

    std::string newRequest() { return "request-" + std::to_string(++this->requests); }

    CommandOutcome grant(const std::string &keyId, const std::string &team, KeyRole role)
    {
        GrantKey command;
        command.requestId = this->newRequest();
        command.keyId = keyId;
        command.team = team;
        command.role = role;
        command.keyedHash = "hash-of-" + keyId;
        return this->state.apply(command);
    }

    CommandOutcome withdraw(const std::string &keyId)
    {
        WithdrawKey command;
        command.requestId = this->newRequest();
        command.keyId = keyId;
        return this->state.apply(command);
    }

    WriteSection sectionWrite(const std::string &section, std::uint64_t base,
                              const std::string &content, const std::string &author = "root")
    {
        WriteSection command;
        command.requestId = this->newRequest();
        command.section = section;
        command.baseVersion = base;
        command.author = author;
        command.content = content;
        return command;
    }

    CommandOutcome write(const std::string &section, std::uint64_t base, const std::string &content,
                         const std::string &author = "root")
    {
        return this->state.apply(this->sectionWrite(section, base, content, author));
    }

    static RegisterTarget registration(const std::string &name, Incarnation incarnation)
    {
        RegisterTarget command;
        command.name = name;
        command.incarnation = incarnation;
        command.address = "127.0.0.1:9000";
        command.failureDomain = "regina";
        command.rack = "r1";
        command.total = Resources{{16000, 32768, 0, 8, 64}};
        return command;
    }

    CommandOutcome registerTarget(const std::string &name, Incarnation incarnation)
    {
        return this->state.apply(registration(name, incarnation));
    }

    TargetId targetId(const std::string &name = "t1") const
    {
        return this->state.targetNamed(name)->id;
    }

    AcceptJob job(const std::string &idempotencyKey, const std::string &team = "mill") const
    {
        AcceptJob command;
        command.first = static_cast<JobId>(idValue(this->state.nextTask()));
        command.keyId = team + "-key";
        command.team = this->state.teamNamed(team)->id;
        command.idempotencyKey = idempotencyKey;
        command.digest = "digest-of-" + idempotencyKey;
        command.workClass = WorkClass::Batch;
        command.need = Resources{{1000, 1024, 0, 1, 1}};
        command.payload = "draw schedule";
        command.entry = "entry-1";
        return command;
    }

    /// Applies \a command, which must be accepted, and returns the ID of its first task.
    TaskId accept(const AcceptJob &command)
    {
        const CommandOutcome outcome = this->state.apply(command);
        REQUIRE(outcome.has_value());
        return static_cast<TaskId>(idValue(std::get<JobAccepted>(outcome.value()).job));
    }

    PlaceTask placement(TaskId task, AttemptNumber attempt, const std::string &target = "t1") const
    {
        PlaceTask command;
        command.task = task;
        command.attempt = attempt;
        command.target = this->targetId(target);
        command.incarnation = this->state.targetNamed(target)->incarnation;
        command.dispatcher = "entry-1";
        return command;
    }

    CommandOutcome place(TaskId task, AttemptNumber attempt, const std::string &target = "t1")
    {
        return this->state.apply(this->placement(task, attempt, target));
    }

    CommandOutcome end(TaskId task, AttemptNumber attempt, AttemptOutcome outcome)
    {
        EndAttempt command;
        command.task = task;
        command.attempt = attempt;
        command.outcome = outcome;
        return this->state.apply(command);
    }

    TaskState stateOf(TaskId task) const { return this->state.task(task)->state; }
    Ran ranOf(TaskId task) const { return this->state.task(task)->ran; }
};

/// The error code of \a outcome, which must be an error.
inline ErrorCode codeOf(const CommandOutcome &outcome)
{
    REQUIRE(outcome.has_error());
    return outcome.error().code;
}

} // namespace guavavalve
