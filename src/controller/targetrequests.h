#pragma once

#include "core/ids.h"
#include "core/resources.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// A target as shown to operators.
struct TargetSummary
{
    std::string name;
    std::string failureDomain;
    std::string rack;
    std::string address;
    Incarnation incarnation = 0;
    std::string state; ///< "ready", "draining", "evacuated", "departing", "quarantined" or "lost"
    Resources total;
    Resources placed; ///< of the attempts that are not known to have ended
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

/// Closes a target to new tasks or opens it again. Tasks that run on it continue.
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

/// A failure domain as shown to operators.
struct DomainSummary
{
    std::string failureDomain;
    bool evacuated = false;
    std::uint32_t targets = 0;
    std::uint32_t tasks = 0; ///< placed on its targets and not known to have ended

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

/// Closes all targets of a failure domain to new tasks or opens them again. Tasks that run there
/// continue. Of conflicting requests the one acknowledged last takes effect.
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
