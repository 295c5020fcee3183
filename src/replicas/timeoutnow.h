#pragma once

namespace guavavalve {

/// Sent by a leader to its successor, which starts an election at once (Ongaro's thesis, 3.10).
struct TimeoutNow
{
    template<typename Archive>
    void serialize(Archive &)
    {}
};

} // namespace guavavalve
