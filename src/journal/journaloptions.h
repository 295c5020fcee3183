#pragma once

#include "journal/replicaidentity.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace guavavalve {

/// Settings of a Journal.
struct JournalOptions
{
    std::string clusterId;
    GroupId group{};
    std::size_t segmentBytes = 8U << 20U; ///< a new segment is begun beyond this
    std::function<std::uint64_t()> random; ///< for a new replica's identity
};

} // namespace guavavalve
