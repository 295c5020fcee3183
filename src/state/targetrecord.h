#pragma once

#include "core/ids.h"
#include "core/resources.h"

#include <string>
#include <vector>

namespace guavavalve {

/// A target that has registered.
struct TargetRecord
{
    TargetId id = TargetId::None;
    std::string name;
    Incarnation incarnation = 0;
    std::string address; ///< "ip:port" of its HTTP listener
    std::string failureDomain;
    std::string rack;
    Resources total;
    Resources used; ///< by what is placed there
    bool departing = false; ///< its own word
    bool draining = false; ///< an operator's word
    bool evacuated = false; ///< its failure domain is; found again from the evacuated domains
    bool lapsed = false; ///< its lease is over; it must come back with a new incarnation
    std::vector<TaskId> tasks; ///< placed there, ascending

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
