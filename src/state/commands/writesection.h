#pragma once

#include <cstdint>
#include <string>

namespace guavavalve {

/// Replaces one section of the configuration document, if it still has \a baseVersion.
/// \errors Conflict, naming who wrote which version since; PermissionDenied; InvalidArgument
/// listing every problem of the whole document as it would become.
struct WriteSection
{
    std::string requestId; ///< a resend returns the first result
    std::string section; ///< "cell" or "team.NAME"
    std::uint64_t baseVersion = 0; ///< the version that this one replaces; 0: none yet
    std::string author; ///< identity of the key that writes
    std::string content; ///< JSON text
    std::int64_t writtenAt = 0; ///< proposer's cell time in ms, for the history only

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->requestId, this->section, this->baseVersion, this->author, this->content,
                this->writtenAt);
    }
};

} // namespace guavavalve
