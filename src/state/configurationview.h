#pragma once

#include "core/error.h"
#include "state/configurationchanges.h"
#include "state/policydocument.h"

#include <cstdint>
#include <map>
#include <string>

namespace guavavalve {

/// The configuration as an entry holds it. It only goes forward. Not locked: its owner does.
class ConfigurationView
{
public:
    /// The version of the document that this is; 0: nothing yet.
    std::uint64_t version() const { return this->heldVersion; }

    const std::map<std::string, SectionContent> &sections() const { return this->sectionTable; }
    const std::map<std::string, KeyRecord> &keys() const { return this->keyTable; }
    const CellSection &cell() const { return this->policies.cell; }

    /// Each of these gives null if there is no such record; a withdrawn key is not given.
    const KeyRecord *key(const std::string &id) const;
    const TeamSection *team(const std::string &name) const;

    /// Takes over \a changes. An answer that is older than what is held, as a lagging replica or
    /// a delayed message brings it, is refused: a withdrawn key would work again.
    /// \errors Conflict if they end before what is held or begin after it; Corrupt if a section
    /// cannot be read. The view is then left as it was.
    Result<void> applyChanges(const ConfigurationChanges &changes);

private:
    /// The policies as they would be: only what changed is read, unless the cell's did, by which
    /// all others are checked.
    DocumentReading readChanged(const ConfigurationChanges &changes,
                                const std::map<std::string, SectionContent> &sections) const;

    std::uint64_t heldVersion = 0;
    std::map<std::string, SectionContent> sectionTable;
    std::map<std::string, KeyRecord> keyTable;
    PolicyDocument policies;
};

} // namespace guavavalve
