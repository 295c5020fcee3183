#pragma once

#include "state/commandoutcome.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace guavavalve {

/// The results of recent operator requests. A request that is resent after its answer was lost
/// returns the first result and is not applied again. Bounded; the oldest results are evicted.
class RequestLog
{
public:
    /// About two hours of requests at the supported rate of 41,000 changes per day.
    static constexpr std::size_t capacity = 4096;

    struct Entry
    {
        std::uint64_t digest = 0; ///< of the request's content
        std::string summary; ///< what was requested, for error messages
        CommandOutcome outcome = CommandValue(Nothing());
    };

    /// The first request with ID \a requestId, or null.
    const Entry *find(const std::string &requestId) const;

    /// Records the outcome of a request; no effect if \a requestId is already recorded.
    void add(const std::string &requestId, Entry entry);

    std::size_t size() const { return this->entries.size(); }

    template<typename Archive>
    void save(Archive &archive) const;
    template<typename Archive>
    void load(Archive &archive);

private:
    std::map<std::string, Entry> entries;
    std::deque<std::string> order; ///< oldest first
};

} // namespace guavavalve
