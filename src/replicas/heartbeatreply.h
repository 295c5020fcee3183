#pragma once

#include <cstdint>

namespace guavavalve {

struct HeartbeatReply
{
    std::int64_t sentAt = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->sentAt);
    }
};

} // namespace guavavalve
