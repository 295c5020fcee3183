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

/// A team, its part of the cell and what it uses of it.
struct TeamSummary
{
    std::string team;
    double share = 0.0; ///< its weight among the teams when the cell is full
    double entitled = 0.0; ///< that weight as a fraction of the cell, 0 to 1
    double inUse = 0.0; ///< dominant share of the cell that its placed tasks take, 0 to 1
    Resources limit; ///< upper limit; a negative amount: none
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

/// Tasks of one team and class that wait, and why the first of them does.
struct WaitingSummary
{
    std::string team;
    WorkClass workClass = WorkClass::Prompt;
    std::uint64_t tasks = 0;
    std::string reason;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->team, this->workClass, this->tasks, this->reason);
    }
};

/// How many targets are in one state.
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

/// The whole cell at a glance.
struct CellStatus
{
    ReplicaStatus replicas;
    std::uint64_t configurationVersion = 0;
    std::vector<std::string> behind; ///< instances without the newest configuration
    std::vector<TargetCount> targets;
    std::vector<std::string> quarantined; ///< names of targets
    std::vector<TeamSummary> teams;
    std::vector<WaitingSummary> waiting;
    double packing = 0.0; ///< dominant share of the ready targets that is placed, 0 to 1

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
