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

ParsedDocument
ConfigurationView::readChanged(const ConfigurationChanges &changes,
                               const std::map<std::string, SectionContent> &sections) const
{
    SectionTexts changed;
    for (const SectionContent &section : changes.sections)
        changed.emplace(section.name, section.content);
    if (!changes.isFull && changed.count(cellSectionName) == 0)
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
                       "the received configuration has version " + std::to_string(changes.toVersion)
                           + ", older than the held version " + std::to_string(this->heldVersion)
                           + "; ask an up-to-date replica");
    if (!changes.isFull && changes.fromVersion > this->heldVersion)
        return failure(ErrorCode::Conflict,
                       "the received changes start at version "
                           + std::to_string(changes.fromVersion) + ", newer than the held version "
                           + std::to_string(this->heldVersion)
                           + "; request the changes since the held version");
    if (changes.toVersion == this->heldVersion)
        return boost::outcome_v2::success();

    auto sections = changes.isFull ? std::map<std::string, SectionContent>() : this->sectionTable;
    for (const SectionContent &section : changes.sections)
        sections[section.name] = section;
    ParsedDocument parsed = this->readChanged(changes, sections);
    if (!parsed.problems.empty())
        return failure(ErrorCode::Corrupt,
                       problemsText("the received configuration", parsed.problems));
    this->policies = std::move(parsed.policies);
    this->sectionTable = std::move(sections);
    if (changes.isFull)
        this->keyTable.clear();
    for (const KeyRecord &key : changes.keys)
        this->keyTable[key.id] = key;
    this->heldVersion = changes.toVersion;
    return boost::outcome_v2::success();
}

} // namespace guavavalve
