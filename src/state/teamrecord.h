#pragma once

#include "core/ids.h"
#include "core/resources.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// A team and its current use of the cell. Its policy is in the configuration.
struct TeamRecord
{
    TeamId id = TeamId::None;
    std::string name;
    Resources running; ///< resources held by its placed tasks
    std::uint32_t placedTasks = 0;
    std::uint32_t waitingTasks = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->name, this->running, this->placedTasks, this->waitingTasks);
    }
};

} // namespace guavavalve
