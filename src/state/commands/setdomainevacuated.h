#pragma once

#include <cereal/types/string.hpp>

#include <string>

namespace guavavalve {

/// Lets the targets of a failure domain receive no new work, or again: those that are there and
/// those that come. What runs there is left alone.
/// \errors NotFound if no target has announced itself from there and it is not evacuated.
struct SetDomainEvacuated
{
    std::string failureDomain;
    bool evacuated = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->failureDomain, this->evacuated);
    }
};

} // namespace guavavalve
