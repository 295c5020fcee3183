#pragma once

#include <cereal/types/string.hpp>

#include <string>

namespace guavavalve::workflows {

/// An operator wants nothing more to be started in a failure domain, or takes that back. Whichever
/// is stored last holds.
struct EvacuateDomain
{
    std::string failureDomain;
    bool isEvacuated = true;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->failureDomain, this->isEvacuated);
    }
};

} // namespace guavavalve::workflows
