#pragma once

#include "core/ids.h"
#include "core/resources.h"

#include <string>

namespace guavavalve {

/// Registers a target or updates its registration. A higher incarnation ends all attempts of the
/// previous one as lost.
/// \errors Conflict if \a incarnation is lower than the known one, or its lease has expired: a
/// target must take a higher incarnation after its lease has expired, so that it rejects a delayed
/// start request that was sent under the old lease. InvalidArgument; LimitExceeded.
struct RegisterTarget
{
    std::string name; ///< unique and stable across restarts
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
