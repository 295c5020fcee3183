#include "state/configurationview.h"

#include <utility>

namespace guavavalve {

const KeyRecord *ConfigurationView::key(const std::string &id) const
{
    const auto found = this->keyTable.find(id);
    return found == this->keyTable.end() || found->second.withdrawn ? nullptr : &found->second;
}

const TeamSection *ConfigurationView::team(const std::string &name) const
{
    const auto found = this->policies.teams.find(name);
    return found == this->policies.teams.end() ? nullptr : &found->second;
}

DocumentReading
ConfigurationView::readChanged(const ConfigurationChanges &changes,
                               const std::map<std::string, SectionContent> &sections) const
{
    SectionTexts changed;
    for (const SectionContent &section : changes.sections)
        changed.emplace(section.name, section.content);
    if (!changes.whole && changed.count(cellSection) == 0)
        return readTeamChanges(this->policies, changed);
    SectionTexts texts;
    for (const auto &[name, section] : sections)
        texts.emplace(name, section.content);
    return readDocument(texts);
}

Result<void> ConfigurationView::applyChanges(const ConfigurationChanges &changes)
{
    if (changes.toVersion < this->heldVersion)
        return failure(ErrorCode::Conflict,
                       "the configuration offered is version " + std::to_string(changes.toVersion)
                           + ", older than " + std::to_string(this->heldVersion)
                           + " which is held; ask a current replica");
    if (!changes.whole && changes.fromVersion > this->heldVersion)
        return failure(ErrorCode::Conflict,
                       "the changes begin at version " + std::to_string(changes.fromVersion)
                           + " but only " + std::to_string(this->heldVersion)
                           + " is held; ask again with that");
    if (changes.toVersion == this->heldVersion)
        return boost::outcome_v2::success();

    auto sections = changes.whole ? std::map<std::string, SectionContent>() : this->sectionTable;
    for (const SectionContent &section : changes.sections)
        sections[section.name] = section;
    DocumentReading reading = this->readChanged(changes, sections);
    if (!reading.problems.empty())
        return failure(ErrorCode::Corrupt,
                       problemsText("the configuration offered", reading.problems));
    this->policies = std::move(reading.policies);
    this->sectionTable = std::move(sections);
    if (changes.whole)
        this->keyTable.clear();
    for (const KeyRecord &key : changes.keys)
        this->keyTable[key.id] = key;
    this->heldVersion = changes.toVersion;
    return boost::outcome_v2::success();
}

} // namespace guavavalve
