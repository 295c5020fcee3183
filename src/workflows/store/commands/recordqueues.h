#pragma once

#include "workflows/model/policy.h"

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace guavavalve::workflows {

/// The settings of all queues of the configuration document in force. They are kept for queues that
/// a later document removes, until what was accepted for them is done.
struct RecordQueues
{
    std::int64_t version = 0; ///< of the document
    std::map<std::string, QueuePolicy> queues;
    std::int64_t atMs = 0; ///< calendar time; used only for retention

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->queues, this->atMs);
    }
};

} // namespace guavavalve::workflows
