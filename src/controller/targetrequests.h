#pragma once

#include "core/ids.h"
#include "core/resources.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// A target as operators see it.
struct TargetSummary
{
    std::string name;
    std::string failureDomain;
    std::string rack;
    std::string address;
    Incarnation incarnation = 0;
    std::string state; ///< "ready", "draining", "departing", "quarantined" or "lost"
    Resources total;
    Resources placed; ///< given to attempts that are not known to be over
    std::uint32_t tasks = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->failureDomain, this->rack, this->address, this->incarnation,
                this->state, this->total, this->placed, this->tasks);
    }
};

struct TargetList
{
    std::vector<TargetSummary> targets;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->targets);
    }
};

struct ListTargetsRequest
{
    using Reply = TargetList;

    template<typename Archive>
    void serialize(Archive &)
    {}
};

/// Closes a target to new work, or opens it again. What runs on it goes on.
struct DrainTargetRequest
{
    using Reply = TargetSummary;
    std::string target;
    bool drain = true;
    std::string requestId;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->target, this->drain, this->requestId);
    }
};

} // namespace guavavalve
