#pragma once

#include "core/resources.h"
#include "workflows/model/ids.h"

#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// What a target reports about itself. Only its capacity may change during one incarnation.
struct TargetIdentity
{
    std::string name;
    /// Start of its process, by its own calendar; larger for later incarnations.
    std::int64_t startedAtMs = 0;
    std::string address; ///< "ip:port"
    std::string service;
    std::string failureDomain;
    std::vector<std::string> labels;
    std::string rack; ///< value of the label that names its rack
    Resources capacity;

    bool hasLabel(const std::string &label) const
    {
        return label.empty()
            || std::find(this->labels.begin(), this->labels.end(), label) != this->labels.end();
    }

    bool operator==(const TargetIdentity &other) const
    {
        return this->name == other.name && this->startedAtMs == other.startedAtMs
            && this->address == other.address && this->service == other.service
            && this->failureDomain == other.failureDomain && this->labels == other.labels
            && this->rack == other.rack && this->capacity.amounts == other.capacity.amounts;
    }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->startedAtMs, this->address, this->service, this->failureDomain,
                this->labels, this->rack, this->capacity);
    }
};

} // namespace guavavalve::workflows
