#pragma once

#include "state/commandoutcome.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace guavavalve {

/// The results of the latest operator requests, so that a resend after a lost answer returns the
/// first result and does nothing twice. Bounded; the oldest are released.
class RequestLog
{
public:
    /// About two hours of the 41,000 changes a day that the design allows for.
    static constexpr std::size_t capacity = 4096;

    /// The first result of \a requestId, Conflict if it stood for another request, or null if it
    /// is not known. \a digest stands for the request's content.
    const CommandOutcome *find(const std::string &requestId, std::uint64_t digest);

    void keep(const std::string &requestId, std::uint64_t digest, const CommandOutcome &outcome);

    std::size_t size() const { return this->entries.size(); }

    template<typename Archive>
    void save(Archive &archive) const;
    template<typename Archive>
    void load(Archive &archive);

private:
    struct Entry
    {
        std::uint64_t digest = 0;
        CommandOutcome outcome = CommandValue(Nothing());
    };

    std::map<std::string, Entry> entries;
    std::deque<std::string> order; ///< oldest first
    CommandOutcome reused = CommandValue(Nothing());
};

} // namespace guavavalve
