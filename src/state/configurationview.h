#pragma once

#include "core/error.h"
#include "state/configurationchanges.h"
#include "state/policydocument.h"

#include <cstdint>
#include <map>
#include <string>

namespace guavavalve {

/// A copy of the configuration on an entry instance. Its version never decreases. Not thread-safe:
/// the owner must lock it.
class ConfigurationView
{
public:
    /// The version of the document that is held; 0: none yet.
    std::uint64_t version() const { return this->heldVersion; }

    const std::map<std::string, SectionContent> &sections() const { return this->sectionTable; }
    const std::map<std::string, KeyRecord> &keys() const { return this->keyTable; }
    const CellSection &cell() const { return this->policies.cell; }

    /// Each of these returns null if there is no such record or the key is withdrawn.
    const KeyRecord *key(const std::string &id) const;
    const TeamSection *team(const std::string &name) const;

    /// Applies \a changes. Changes that end before the held version, sent by a lagging replica or
    /// delayed in the network, are rejected, since they could make a withdrawn key valid again.
    /// \errors Conflict if the changes end before the held version or begin after it; Corrupt if a
    /// section is invalid. The view is then unchanged.
    Result<void> applyChanges(const ConfigurationChanges &changes);

private:
    /// Parses the policies that result from \a changes. Reads only the changed sections, unless the
    /// section "cell" is among them: all team sections are validated against it.
    ParsedDocument readChanged(const ConfigurationChanges &changes,
                               const std::map<std::string, SectionContent> &sections) const;

    std::uint64_t heldVersion = 0;
    std::map<std::string, SectionContent> sectionTable;
    std::map<std::string, KeyRecord> keyTable;
    PolicyDocument policies;
};

} // namespace guavavalve
