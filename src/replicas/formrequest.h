#pragma once

#include "journal/logentry.h"

namespace guavavalve {

/// Brings the group's first entry, the list of its first members, to one of them.
struct FormRequest
{
    LogEntry first;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->first);
    }
};

} // namespace guavavalve
