#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// One field that a write would change.
struct FieldChange
{
    std::string path; ///< "limit.slots"
    std::string before; ///< JSON text; empty: not set
    std::string after; ///< JSON text; empty: not set

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->path, this->before, this->after);
    }
};

/// What a write of a section would do.
struct SectionPreview
{
    std::uint64_t currentVersion = 0; ///< 0: there is none yet
    std::vector<FieldChange> changes;
    std::vector<std::string> problems; ///< empty: it would be accepted

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->currentVersion, this->changes, this->problems);
    }
};

} // namespace guavavalve
