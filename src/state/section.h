#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// A version of a section, as kept in its history.
struct SectionVersion
{
    std::uint64_t version = 0;
    std::string author; ///< ID of the key that wrote it
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
    std::uint64_t changedInVersion = 0; ///< document version of the last change
    std::vector<SectionVersion> history; ///< oldest first, bounded; the last version is in force

    const SectionVersion &current() const { return this->history.back(); }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->owner, this->changedInVersion, this->history);
    }
};

} // namespace guavavalve
