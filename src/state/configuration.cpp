#include "state/configuration.h"

#include "state/clusterstatedetails.h"
#include "state/sectiondiff.h"

#include <algorithm>
#include <utility>

namespace guavavalve {
namespace internal {

namespace {

constexpr std::size_t maxLabelBytes = 1024;

/// Drops the oldest versions until the history is within its bounds. Always keeps the version in
/// force.
void trimHistory(std::vector<SectionVersion> &history)
{
    std::size_t bytes = 0;
    std::size_t kept = 0;
    for (auto entry = history.rbegin(); entry != history.rend(); ++entry) {
        bytes += entry->content.size();
        if (kept > 0
            && (kept == Configuration::maxHistory || bytes > Configuration::maxHistoryBytes))
            break;
        ++kept;
    }
    history.erase(history.begin(), history.end() - static_cast<std::ptrdiff_t>(kept));
}

const SectionVersion *findVersion(const Section &section, std::uint64_t version)
{
    for (const SectionVersion &entry : section.history) {
        if (entry.version == version)
            return &entry;
    }
    return nullptr;
}

/// The message for a write over an outdated version: who wrote the current one, and what changed.
std::string conflictText(const Section &section, std::uint64_t baseVersion)
{
    const SectionVersion &current = section.current();
    std::string text = "section " + quoted(section.name) + " is at version "
        + std::to_string(current.version) + ", written with key " + quoted(current.author)
        + ", not at " + std::to_string(baseVersion)
        + "; read it again and base the write on that version";
    if (const SectionVersion *base = findVersion(section, baseVersion))
        text += ". Changes since version " + std::to_string(baseVersion) + ": "
            + changesText(base->content, current.content);
    return text;
}

std::int64_t leaseWithMarginMs(const CellSection &cell)
{
    return cell.targetLeaseMs + cell.driftMarginMs;
}

Result<void> checkGrant(const GrantKey &command)
{
    if (!isName(command.keyId))
        return failure(ErrorCode::InvalidArgument,
                       "a key ID consists of 1 to 64 letters, digits, "
                       "'-', '_' and '.'");
    if (command.keyedHash.empty() || command.keyedHash.size() > maxIdBytes)
        return failure(ErrorCode::InvalidArgument,
                       "a key needs a keyed hash of its secret, of at most 256 bytes");
    if (command.label.size() > maxLabelBytes)
        return failure(ErrorCode::InvalidArgument, "a key's label may have at most 1024 bytes");
    return boost::outcome_v2::success();
}

} // namespace

} // namespace internal

const Section *Configuration::section(const std::string &name) const
{
    const auto found = this->sectionTable.find(name);
    return found == this->sectionTable.end() ? nullptr : &found->second;
}

const KeyRecord *Configuration::key(const std::string &id) const
{
    const auto found = this->keyTable.find(id);
    return found == this->keyTable.end() ? nullptr : &found->second;
}

const TeamSection *Configuration::team(const std::string &name) const
{
    const auto found = this->policies.teams.find(name);
    return found == this->policies.teams.end() ? nullptr : &found->second;
}

Result<void> Configuration::checkAuthor(const WriteSection &command) const
{
    const KeyRecord *author = this->key(command.author);
    if (author == nullptr || author->withdrawn)
        return failure(ErrorCode::Unauthenticated,
                       "key " + internal::quoted(command.author) + " is unknown or withdrawn");
    if (author->role == KeyRole::Operator)
        return boost::outcome_v2::success();
    if (author->team.empty() || teamOfSection(command.section) != author->team)
        return failure(ErrorCode::PermissionDenied,
                       "key " + internal::quoted(command.author) + " may write only section "
                           + internal::quoted(teamSectionPrefix + author->team));
    const Section *section = this->section(command.section);
    const std::string before = section == nullptr ? "{}" : section->current().content;
    for (const FieldChange &change : sectionChanges(before, command.content)) {
        const auto &specs = teamPolicyTable().specs();
        const bool reserved =
            std::any_of(specs.begin(), specs.end(), [&change](const FieldSpec &spec) {
                return spec.operatorsOnly && spec.path == change.path;
            });
        if (reserved)
            return failure(ErrorCode::PermissionDenied,
                           change.path + " of section " + internal::quoted(command.section)
                               + " can be changed only with an operator key");
    }
    return boost::outcome_v2::success();
}

Result<void> Configuration::checkBaseVersion(const WriteSection &command) const
{
    const Section *section = this->section(command.section);
    if (section == nullptr) {
        if (command.baseVersion != 0)
            return failure(ErrorCode::NotFound,
                           "there is no section " + internal::quoted(command.section)
                               + "; create it with base version 0");
        if (command.section != cellSectionName && teamOfSection(command.section).empty())
            return failure(ErrorCode::InvalidArgument,
                           "a section name must be \"cell\" or \"team.NAME\", not "
                               + internal::quoted(command.section));
        if (this->sectionTable.size() >= maxSections)
            return failure(ErrorCode::LimitExceeded,
                           "the document has the maximum of " + std::to_string(maxSections)
                               + " sections");
        return boost::outcome_v2::success();
    }
    if (section->current().version != command.baseVersion)
        return failure(ErrorCode::Conflict, internal::conflictText(*section, command.baseVersion));
    return boost::outcome_v2::success();
}

ParsedDocument Configuration::readAfterWrite(const WriteSection &command) const
{
    // A team's section is validated only against the section "cell", which does not change here, so
    // the other teams' sections need not be parsed again.
    if (command.section != cellSectionName)
        return readTeamChanges(this->policies, {{command.section, command.content}});
    SectionTexts texts;
    for (const auto &[name, section] : this->sectionTable)
        texts.emplace(name, section.current().content);
    texts[command.section] = command.content;
    return readDocument(texts);
}

Result<ConfigurationChanged> Configuration::write(const WriteSection &command)
{
    if (auto checked = this->checkAuthor(command); checked.has_error())
        return checked.error();
    if (auto checked = this->checkBaseVersion(command); checked.has_error())
        return checked.error();
    ParsedDocument parsed = this->readAfterWrite(command);
    if (!parsed.problems.empty())
        return failure(ErrorCode::InvalidArgument,
                       problemsText("the resulting document", parsed.problems));
    if (command.section == cellSectionName)
        this->recordPreviousLease();
    this->policies = std::move(parsed.policies);

    Section &section = this->sectionTable[command.section];
    const std::string team = teamOfSection(command.section);
    section.name = command.section;
    section.owner = team.empty() ? "operators" : team;
    section.changedInVersion = ++this->documentVersion;
    SectionVersion version;
    version.version = command.baseVersion + 1;
    version.author = command.author;
    version.writtenAt = command.writtenAt;
    version.content = command.content;
    section.history.push_back(std::move(version));
    internal::trimHistory(section.history);

    ConfigurationChanged changed;
    changed.documentVersion = this->documentVersion;
    changed.sectionVersion = command.baseVersion + 1;
    return changed;
}

void Configuration::recordPreviousLease()
{
    this->earlierLeases.push_back(internal::leaseWithMarginMs(this->cell()));
    if (this->earlierLeases.size() > maxEarlierLeases)
        this->earlierLeases.erase(this->earlierLeases.begin());
}

std::int64_t Configuration::longestTargetLeaseMs() const
{
    std::int64_t longest = internal::leaseWithMarginMs(this->cell());
    for (const std::int64_t lease : this->earlierLeases)
        longest = std::max(longest, lease);
    return longest;
}

SectionPreview Configuration::preview(const WriteSection &command) const
{
    SectionPreview preview;
    const Section *section = this->section(command.section);
    if (section != nullptr)
        preview.currentVersion = section->current().version;
    const std::string before = section == nullptr ? "{}" : section->current().content;
    preview.changes = sectionChanges(before, command.content);
    if (auto checked = this->checkAuthor(command); checked.has_error())
        preview.problems.push_back(checked.error().message);
    if (auto checked = this->checkBaseVersion(command); checked.has_error())
        preview.problems.push_back(checked.error().message);
    if (preview.problems.empty()) {
        for (const Problem &problem : this->readAfterWrite(command).problems)
            preview.problems.push_back(problem.text());
    }
    return preview;
}

Result<ConfigurationChanged> Configuration::grant(const GrantKey &command)
{
    if (auto checked = internal::checkGrant(command); checked.has_error())
        return checked.error();
    if (const KeyRecord *known = this->key(command.keyId))
        return failure(ErrorCode::Conflict,
                       "key " + internal::quoted(command.keyId) + " was already granted, to team "
                           + internal::quoted(known->team) + "; choose another key ID");
    const bool needsTeam = command.role == KeyRole::Team || !command.team.empty();
    if (needsTeam && this->team(command.team) == nullptr)
        return failure(ErrorCode::NotFound,
                       "there is no team " + internal::quoted(command.team)
                           + "; write its section first");
    if (this->keyTable.size() - this->withdrawnKeys >= maxKeys)
        return failure(ErrorCode::LimitExceeded,
                       "the maximum of " + std::to_string(maxKeys) + " keys is in use");

    KeyRecord &key = this->keyTable[command.keyId];
    key.id = command.keyId;
    key.team = command.team;
    key.role = command.role;
    key.keyedHash = command.keyedHash;
    key.label = command.label;
    key.changedInVersion = ++this->documentVersion;
    ConfigurationChanged changed;
    changed.documentVersion = this->documentVersion;
    return changed;
}

Result<ConfigurationChanged> Configuration::withdraw(const WithdrawKey &command)
{
    const auto found = this->keyTable.find(command.keyId);
    if (found == this->keyTable.end())
        return failure(ErrorCode::NotFound, "there is no key " + internal::quoted(command.keyId));
    KeyRecord &key = found->second;
    ConfigurationChanged changed;
    if (key.withdrawn) {
        changed.documentVersion = key.changedInVersion;
        return changed;
    }
    // Without an operator key in use, no key could ever be granted again.
    if (key.role == KeyRole::Operator && this->countOperatorKeys() == 1)
        return failure(ErrorCode::Conflict,
                       "this is the last operator key in use; grant another "
                       "one before withdrawing it");
    key.withdrawn = true;
    key.keyedHash.clear();
    key.changedInVersion = ++this->documentVersion;
    ++this->withdrawnKeys;
    changed.documentVersion = this->documentVersion;
    if (this->withdrawnKeys > maxWithdrawnKeys)
        this->evictOldestWithdrawnKey();
    return changed;
}

std::size_t Configuration::countOperatorKeys() const
{
    return static_cast<std::size_t>(
        std::count_if(this->keyTable.begin(), this->keyTable.end(), [](const auto &row) {
            return row.second.role == KeyRole::Operator && !row.second.withdrawn;
        }));
}

void Configuration::evictOldestWithdrawnKey()
{
    auto oldest = this->keyTable.end();
    for (auto row = this->keyTable.begin(); row != this->keyTable.end(); ++row) {
        if (!row->second.withdrawn)
            continue;
        if (oldest == this->keyTable.end()
            || row->second.changedInVersion < oldest->second.changedInVersion)
            oldest = row;
    }
    this->keysEvictedUpTo = std::max(this->keysEvictedUpTo, oldest->second.changedInVersion);
    this->keyTable.erase(oldest);
    --this->withdrawnKeys;
}

ConfigurationChanges Configuration::changesSince(std::uint64_t heldVersion) const
{
    ConfigurationChanges changes;
    changes.fromVersion = heldVersion;
    changes.toVersion = this->documentVersion;
    if (heldVersion >= this->documentVersion)
        return changes;
    changes.isFull = heldVersion == 0 || heldVersion < this->keysEvictedUpTo;
    const std::uint64_t after = changes.isFull ? 0 : heldVersion;
    for (const auto &[name, section] : this->sectionTable) {
        if (section.changedInVersion <= after)
            continue;
        SectionContent content;
        content.name = name;
        content.owner = section.owner;
        content.version = section.current().version;
        content.content = section.current().content;
        changes.sections.push_back(std::move(content));
    }
    for (const auto &[id, key] : this->keyTable) {
        if (key.changedInVersion > after)
            changes.keys.push_back(key);
    }
    return changes;
}

Result<void> Configuration::rebuildPolicies()
{
    SectionTexts texts;
    for (const auto &[name, section] : this->sectionTable) {
        if (section.history.empty())
            return failure(ErrorCode::Corrupt,
                           "section " + internal::quoted(name) + " has no version");
        texts.emplace(name, section.current().content);
    }
    ParsedDocument parsed = readDocument(texts);
    if (!parsed.problems.empty())
        return failure(ErrorCode::Corrupt, problemsText("the stored document", parsed.problems));
    this->policies = std::move(parsed.policies);
    this->withdrawnKeys = static_cast<std::size_t>(
        std::count_if(this->keyTable.begin(), this->keyTable.end(),
                      [](const auto &row) { return row.second.withdrawn; }));
    return boost::outcome_v2::success();
}

} // namespace guavavalve
