#pragma once

#include "core/error.h"
#include "state/keyrecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// The current version of a section without its history, as entry instances hold it.
struct SectionContent
{
    std::string name;
    std::string owner;
    std::uint64_t version = 0;
    std::string content; ///< JSON text

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->owner, this->version, this->content);
    }
};

/// The difference between two versions of the configuration.
struct ConfigurationChanges
{
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    bool isFull = false; ///< the complete configuration; anything not listed no longer exists
    std::vector<SectionContent> sections;
    std::vector<KeyRecord> keys;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->fromVersion, this->toVersion, this->isFull, this->sections, this->keys);
    }
};

/// Encodes the changes for the wire.
std::string encodeChanges(const ConfigurationChanges &changes);

/// \errors Corrupt if \a bytes are not complete changes in this format.
Result<ConfigurationChanges> decodeChanges(const std::string &bytes);

} // namespace guavavalve
