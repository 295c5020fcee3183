#pragma once

#include "core/done.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/taskstate.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace guavavalve {

/// The result of an accepted AcceptJob.
struct JobAccepted
{
    JobId job = JobId::None;
    bool joined = false; ///< a resend: \a job was accepted earlier for the same request

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->job, this->joined);
    }
};

/// The result of an accepted RegisterTarget.
struct TargetRegistered
{
    TargetId target = TargetId::None;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->target);
    }
};

/// The result of an accepted WriteSection, GrantKey or WithdrawKey.
struct ConfigurationChanged
{
    std::uint64_t documentVersion = 0; ///< the change is in force wherever this version is held
    std::uint64_t sectionVersion = 0; ///< of the written section; 0 for a key

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->documentVersion, this->sectionVersion);
    }
};

/// The result of an accepted EndAttempt: the resulting state of the task.
struct AttemptRecorded
{
    TaskState state = TaskState::Waiting;
    Ran ran = Ran::No;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->state, this->ran);
    }
};

using CommandValue =
    std::variant<Nothing, JobAccepted, TargetRegistered, ConfigurationChanged, AttemptRecorded>;

/// The outcome of a command: the value of an accepted one, or the error of a rejected one.
using CommandOutcome = Result<CommandValue>;

/// Encodes the outcomes of a batch, as StateMachine::apply() returns them.
std::string encodeOutcomes(const std::vector<CommandOutcome> &outcomes);

/// \errors Corrupt if \a bytes are not a complete list of outcomes.
Result<std::vector<CommandOutcome>> decodeOutcomes(const std::string &bytes);

} // namespace guavavalve
