#pragma once

#include <cereal/types/string.hpp>

#include <string>

namespace guavavalve::workflows {

/// An operator evacuates a failure domain, so that nothing new is started there, or reopens it. The
/// command stored last is in effect.
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
