#pragma once

#include "core/error.h"
#include "state/keyrecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// The present version of a section, as entries hold it: without history.
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

/// What brings a copy of the configuration from one version of the document to another.
struct ConfigurationChanges
{
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    bool whole = false; ///< everything: what is not named here is no more
    std::vector<SectionContent> sections;
    std::vector<KeyRecord> keys;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->fromVersion, this->toVersion, this->whole, this->sections, this->keys);
    }
};

/// The changes as bytes for the wire.
std::string encodeChanges(const ConfigurationChanges &changes);

/// \errors Corrupt if the bytes are not whole changes of this format.
Result<ConfigurationChanges> decodeChanges(const std::string &bytes);

} // namespace guavavalve
