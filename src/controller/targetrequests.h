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
    std::string state; ///< "ready", "draining", "evacuated", "departing", "quarantined" or "lost"
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

/// A failure domain as operators see it.
struct DomainSummary
{
    std::string failureDomain;
    bool evacuated = false;
    std::uint32_t targets = 0;
    std::uint32_t tasks = 0; ///< given to its targets and not known to be over

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->failureDomain, this->evacuated, this->targets, this->tasks);
    }
};

struct DomainList
{
    std::vector<DomainSummary> domains;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->domains);
    }
};

struct ListDomainsRequest
{
    using Reply = DomainList;

    template<typename Archive>
    void serialize(Archive &)
    {}
};

/// Closes all targets of a failure domain to new work, or opens them again. What runs there goes
/// on. Of contrary wishes the one acknowledged last holds.
struct EvacuateDomainRequest
{
    using Reply = DomainSummary;
    std::string failureDomain;
    bool evacuate = true;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->failureDomain, this->evacuate);
    }
};

} // namespace guavavalve
