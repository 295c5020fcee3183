#pragma once

#include "controller/jobstatus.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// One job of a JobList.
struct JobSummary
{
    JobId job = JobId::None;
    std::string team;
    WorkClass workClass = WorkClass::Prompt;
    std::uint32_t tasks = 0;
    std::uint32_t waiting = 0;
    std::uint32_t placed = 0;
    bool finished = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->job, this->team, this->workClass, this->tasks, this->waiting, this->placed,
                this->finished);
    }
};

struct JobList
{
    std::vector<JobSummary> jobs; ///< newest first
    bool more = false; ///< not all matching jobs were listed, or not all jobs were scanned

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->jobs, this->more);
    }
};

struct ListJobsRequest
{
    using Reply = JobList;
    std::string team; ///< empty: all teams
    bool unfinishedOnly = false;
    std::uint32_t atMost = 100;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->team, this->unfinishedOnly, this->atMost);
    }
};

/// The status of a job and the reasons for it.
struct JobExplanation
{
    JobStatus status;
    std::vector<std::string> reasons; ///< human-readable, in the order of the tasks

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->status, this->reasons);
    }
};

struct ExplainJobRequest
{
    using Reply = JobExplanation;
    JobId job = JobId::None;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->job);
    }
};

} // namespace guavavalve
