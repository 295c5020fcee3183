#pragma once

namespace guavavalve {

/// The leader tells its successor to stand for election at once (Ongaro's thesis, 3.10).
struct TimeoutNow
{
    template<typename Archive>
    void serialize(Archive &)
    {}
};

} // namespace guavavalve
