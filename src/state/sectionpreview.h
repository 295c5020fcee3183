#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// A field that a write would change.
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

/// The effect that a write of a section would have.
struct SectionPreview
{
    std::uint64_t currentVersion = 0; ///< 0: the section does not exist yet
    std::vector<FieldChange> changes;
    std::vector<std::string> problems; ///< empty: the write would be accepted

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->currentVersion, this->changes, this->problems);
    }
};

} // namespace guavavalve
