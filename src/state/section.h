#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// One version of a section, as its history keeps it.
struct SectionVersion
{
    std::uint64_t version = 0;
    std::string author; ///< identity of the key that wrote it
    std::int64_t writtenAt = 0; ///< the proposer's cell time in ms, for reports only
    std::string content; ///< JSON text

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->author, this->writtenAt, this->content);
    }
};

/// A section of the configuration document.
struct Section
{
    std::string name; ///< "cell" or "team.NAME"
    std::string owner; ///< a team's name, or "operators"
    std::uint64_t changedAt = 0; ///< version of the document that brought the last change
    std::vector<SectionVersion> history; ///< oldest first, bounded; the last one is in force

    const SectionVersion &current() const { return this->history.back(); }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->owner, this->changedAt, this->history);
    }
};

} // namespace guavavalve
