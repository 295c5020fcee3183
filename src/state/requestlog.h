#pragma once

#include "state/commandoutcome.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace guavavalve {

/// The results of the latest operator requests, so that a resend after a lost answer returns the
/// first result and does nothing twice. Bounded; the oldest are released.
class RequestLog
{
public:
    /// About two hours of the 41,000 changes a day that the design allows for.
    static constexpr std::size_t capacity = 4096;

    struct Entry
    {
        std::uint64_t digest = 0; ///< of the request's content
        std::string summary; ///< who asked for what
        CommandOutcome outcome = CommandValue(Nothing());
    };

    /// The first request that came as \a requestId, or null.
    const Entry *find(const std::string &requestId) const;

    void keep(const std::string &requestId, Entry entry);

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
