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

/// What an accepted AcceptJob gives.
struct JobAccepted
{
    JobId job = JobId::None;
    bool joined = false; ///< the same request had been accepted before

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->job, this->joined);
    }
};

/// What an accepted RegisterTarget gives.
struct TargetRegistered
{
    TargetId target = TargetId::None;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->target);
    }
};

/// What an accepted WriteSection, GrantKey or WithdrawKey gives.
struct ConfigurationChanged
{
    std::uint64_t documentVersion = 0; ///< in force where this version is held
    std::uint64_t sectionVersion = 0; ///< of a written section, otherwise 0

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->documentVersion, this->sectionVersion);
    }
};

/// What an accepted EndAttempt gives: where it leaves its task.
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

/// What became of one command: accepted with what it gives, or rejected and without effect.
using CommandOutcome = Result<CommandValue>;

/// The bytes that StateMachine::apply() returns for a batch.
std::string encodeOutcomes(const std::vector<CommandOutcome> &outcomes);

/// \errors Corrupt if the bytes are not a whole list of outcomes.
Result<std::vector<CommandOutcome>> decodeOutcomes(const std::string &bytes);

} // namespace guavavalve
