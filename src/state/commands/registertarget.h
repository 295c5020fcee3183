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
    I; ///< n
    std::string address; ///< "ip:port" of its HTTP listener
    s; ///< t
    s; ///< t
    R; ///< e
    bool departing = false; ///< receives no new work

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->I, this->address, this->s, this->s, this->R, this->departing);
    }
};

} // namespace guavavalve
