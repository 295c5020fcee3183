#pragma once

#include "core/ids.h"
#include "core/resources.h"

#include <string>
#include <vector>

namespace guavavalve {

/// A registered target.
struct TargetRecord
{
    TargetId id = TargetId::None;
    std::string name;
    Incarnation incarnation = 0;
    std::string address; ///< "ip:port" of its HTTP listener
    std::string failureDomain;
    std::string rack;
    Resources total;
    Resources used; ///< by the tasks placed there
    bool departing = false; ///< set by the target itself
    bool draining = false; ///< set by an operator
    bool evacuated = false; ///< its failure domain is evacuated; derived, not in a snapshot
    bool lapsed = false; ///< its lease has expired; it must register with a higher incarnation
    std::vector<TaskId> tasks; ///< placed there, in ascending order

    bool takesWork() const
    {
        return !this->departing && !this->draining && !this->evacuated && !this->lapsed;
    }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->name, this->incarnation, this->address, this->failureDomain,
                this->rack, this->total, this->used, this->departing, this->draining, this->lapsed,
                this->tasks);
    }
};

} // namespace guavavalve
