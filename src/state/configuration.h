#pragma once

#include "core/error.h"
#include "state/commandoutcome.h"
#include "state/commands/grantkey.h"
#include "state/commands/withdrawkey.h"
#include "state/commands/writesection.h"
#include "state/configurationchanges.h"
#include "state/keyrecord.h"
#include "state/policydocument.h"
#include "state/section.h"
#include "state/sectionpreview.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace guavavalve {

/// The configuration document and the API keys. Every accepted change increments the document's
/// version, which never decreases.
class Configuration
{
public:
    /// Bounds on the size of the state, whatever is written to it.
    static constexpr std::size_t maxSections = 2000;
    static constexpr std::size_t maxSectionBytes = std::size_t{64} * 1024;
    static constexpr std::size_t maxHistory = 32; ///< versions kept per section
    static constexpr std::size_t maxHistoryBytes = std::size_t{128} * 1024; ///< per section
    static constexpr std::size_t maxEarlierLeases = 64; ///< see longestTargetLeaseMs()
    static constexpr std::size_t maxKeys = 20000; ///< in use
    static constexpr std::size_t maxWithdrawnKeys = 20000; ///< kept; the oldest are evicted

    std::uint64_t version() const { return this->documentVersion; }
    const std::map<std::string, Section> &sections() const { return this->sectionTable; }
    const std::map<std::string, KeyRecord> &keys() const { return this->keyTable; }

    /// Each of these returns null if there is no such record.
    const Section *section(const std::string &name) const;
    const KeyRecord *key(const std::string &id) const;
    const TeamSection *team(const std::string &name) const;

    /// The cell-wide policy; default values if there is no section "cell".
    const CellSection &cell() const { return this->policies.cell; }

    /// The longest target lease in ms, drift margin included, that a controller may have granted
    /// under the current section "cell" or one of the last maxEarlierLeases (64) replaced ones.
    ///
    /// If the lease is lowered shortly before the controller fails, targets may still hold a lease
    /// of the old length. A successor that waited for the new length only would free their tasks
    /// too early, and they would run twice. The state has no clock to tell when the old leases have
    /// expired, so it drops them by count.
    std::int64_t longestTargetLeaseMs() const;

    /// \errors see WriteSection.
    Result<ConfigurationChanged> write(const WriteSection &command);

    /// A dry run of write().
    SectionPreview preview(const WriteSection &command) const;

    /// \errors see GrantKey.
    Result<ConfigurationChanged> grant(const GrantKey &command);

    /// \errors see WithdrawKey.
    Result<ConfigurationChanged> withdraw(const WithdrawKey &command);

    /// The changes since \a heldVersion of the document. Empty if \a heldVersion is newer than this
    /// replica's, so a lagging replica cannot roll an entry instance back.
    ConfigurationChanges changesSince(std::uint64_t heldVersion) const;

    /// Parses the policies from the sections, after a snapshot has been restored.
    /// \errors Corrupt if a section fails the checks that it passed when it was written.
    Result<void> rebuildPolicies();

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->documentVersion, this->keysEvictedUpTo, this->sectionTable, this->keyTable,
                this->earlierLeases);
    }

private:
    Result<void> checkAuthor(const WriteSection &command) const;
    Result<void> checkBaseVersion(const WriteSection &command) const;
    ParsedDocument readAfterWrite(const WriteSection &command) const;
    void recordPreviousLease();
    std::size_t countOperatorKeys() const;
    void evictOldestWithdrawnKey();

    std::uint64_t documentVersion = 0;
    /// The version of the newest withdrawal whose key record has been evicted. A holder of an
    /// older version is sent the full document, since that withdrawal is no longer in the changes.
    std::uint64_t keysEvictedUpTo = 0;
    std::map<std::string, Section> sectionTable;
    std::map<std::string, KeyRecord> keyTable;
    std::vector<std::int64_t> earlierLeases; ///< in ms, drift margin included; oldest first
    // Not part of a snapshot; rebuildPolicies() derives them from the tables.
    PolicyDocument policies;
    std::size_t withdrawnKeys = 0;
};

} // namespace guavavalve
