#pragma once

#include "core/resources.h"
#include "core/workclass.h"
#include "replicas/replicatedlog.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// A team's entitlement to the cell's resources and its current use of them.
struct TeamSummary
{
    std::string team;
    double share = 0.0; ///< weight relative to the other teams when the cell is full
    double entitled = 0.0; ///< fraction of the cell that the weight entitles it to, 0 to 1
    double inUse = 0.0; ///< dominant share of the cell that its placed tasks use, 0 to 1
    Resources limit; ///< upper limit; a negative amount means no limit
    Resources placed;
    std::uint64_t waiting = 0; ///< tasks

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->team, this->share, this->entitled, this->inUse, this->limit, this->placed,
                this->waiting);
    }
};

struct TeamList
{
    std::vector<TeamSummary> teams;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->teams);
    }
};

struct ListTeamsRequest
{
    using Reply = TeamList;

    template<typename Archive>
    void serialize(Archive &)
    {}
};

/// The waiting tasks of one team and work class.
struct WaitingSummary
{
    std::string team;
    WorkClass workClass = WorkClass::Prompt;
    std::uint64_t tasks = 0;
    std::string reason; ///< why the first of them waits

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->team, this->workClass, this->tasks, this->reason);
    }
};

/// The number of targets in one state.
struct TargetCount
{
    std::string state; ///< as in TargetSummary
    std::uint32_t targets = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->state, this->targets);
    }
};

/// A summary of the whole cell.
struct CellStatus
{
    ReplicaStatus replicas;
    std::uint64_t configurationVersion = 0;
    /// Instances without the newest configuration or without a lease on it.
    std::vector<std::string> behind;
    std::vector<TargetCount> targets;
    std::vector<std::string> quarantined; ///< names of targets
    std::vector<TeamSummary> teams;
    std::vector<WaitingSummary> waiting;
    double packing = 0.0; ///< dominant share of the ready targets that placed tasks use, 0 to 1

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->replicas, this->configurationVersion, this->behind, this->targets,
                this->quarantined, this->teams, this->waiting, this->packing);
    }
};

struct CellStatusRequest
{
    using Reply = CellStatus;

    template<typename Archive>
    void serialize(Archive &)
    {}
};

} // namespace guavavalve
