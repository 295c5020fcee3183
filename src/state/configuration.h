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

/// The configuration document and the keys. Each accepted change raises the document's version
/// by one; nothing ever lowers it.
class Configuration
{
public:
    /// Bounds, so that the state stays small whatever is written to it.
    static constexpr std::size_t maxSections = 2000;
    static constexpr std::size_t maxSectionBytes = std::size_t{64} * 1024;
    static constexpr std::size_t maxHistory = 32; ///< versions a section
    static constexpr std::size_t maxHistoryBytes = std::size_t{128} * 1024; ///< a section
    static constexpr std::size_t maxEarlierLeases = 64;
    static constexpr std::size_t maxKeys = 20000; ///< in use
    static constexpr std::size_t maxWithdrawnKeys = 20000; ///< oldest released

    std::uint64_t version() const { return this->documentVersion; }
    const std::map<std::string, Section> &sections() const { return this->sectionTable; }
    const std::map<std::string, KeyRecord> &keys() const { return this->keyTable; }

    /// Each of these gives null if there is no such record.
    const Section *section(const std::string &name) const;
    const KeyRecord *key(const std::string &id) const;
    const TeamSection *team(const std::string &name) const;

    /// The cell's policy: what its section says, or the defaults.
    const CellSection &cell() const { return this->policies.cell; }

    /// The longest lease, margin included, that a controller may have given under this or one of
    /// the last 64 versions of the cell's section, in ms.
    ///
    /// Guards against a lease that is lowered shortly before the controller dies. Its successor
    /// knows the new lease only; counting by that it would free tasks of a target that still holds
    /// the old one, and they would run twice. The state has no clock to tell when the old lease is
    /// over, so it forgets by count.
    std::int64_t longestTargetLeaseMs() const;

    /// \errors see WriteSection.
    Result<ConfigurationChanged> write(const WriteSection &command);

    /// What write() would do, without doing it.
    SectionPreview preview(const WriteSection &command) const;

    /// \errors see GrantKey.
    Result<ConfigurationChanged> grant(const GrantKey &command);

    /// \errors see WithdrawKey.
    Result<ConfigurationChanged> withdraw(const WithdrawKey &command);

    /// What differs for an entry that holds \a heldVersion of the document. An entry that holds
    /// more than this copy does gets nothing: a lagging replica takes nothing back.
    ConfigurationChanges changesSince(std::uint64_t heldVersion) const;

    /// Reads the policies anew from the sections, as after a restored snapshot.
    /// \errors Corrupt if a section does not pass the checks it has once passed.
    Result<void> readPolicies();

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->documentVersion, this->keysReleasedAt, this->sectionTable, this->keyTable,
                this->earlierLeases);
    }

private:
    Result<void> checkAuthor(const WriteSection &command) const;
    Result<void> checkBase(const WriteSection &command) const;
    DocumentReading readWith(const WriteSection &command) const;
    void keepLease();
    std::size_t operatorKeys() const;
    void releaseOldestWithdrawn();

    std::uint64_t documentVersion = 0;
    /// The newest change of a withdrawn key whose record has been released. Who holds an older
    /// version is sent everything.
    std::uint64_t keysReleasedAt = 0;
    std::map<std::string, Section> sectionTable;
    std::map<std::string, KeyRecord> keyTable;
    std::vector<std::int64_t> earlierLeases; ///< ms, margin included; oldest first
    // Found again from the tables by readPolicies().
    PolicyDocument policies;
    std::size_t withdrawnKeys = 0;
};

} // namespace guavavalve
