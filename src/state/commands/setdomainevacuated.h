#pragma once

#include <cereal/types/string.hpp>

#include <string>

namespace guavavalve {

/// Stops or resumes placement on all targets of a failure domain, including targets that register
/// later. Running tasks are not affected.
/// \errors NotFound if no target is registered in the domain and it is not evacuated.
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
