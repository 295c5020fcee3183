#pragma once

#include "core/ids.h"
#include "core/resources.h"

#include <string>

namespace guavavalve {

/// Registers a target or changes what it says of itself. A new incarnation means that every
/// attempt under the old one is over.
/// \errors Conflict if \a incarnation is older than the known one, or has lapsed: the target
/// takes a new incarnation when its lease has run out, so that a start sent under the old
/// lease finds no one who would obey it.
struct RegisterTarget
{
    std::string name; ///< identity, kept over restarts
    Incarnation incarnation = 0;
    std::string address; ///< "ip:port" of its HTTP listener
    std::string failureDomain;
    std::string rack;
    Resources total;
    bool departing = false; ///< receives no new work

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->incarnation, this->address, this->failureDomain, this->rack,
                this->total, this->departing);
    }
};

} // namespace guavavalve
