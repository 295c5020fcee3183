#pragma once

#include <cstdint>
#include <string>

namespace guavavalve {

/// Replaces a section of the configuration document if its version is still \a baseVersion.
/// \errors Conflict, naming the current version, the key that wrote it and the changes since;
/// NotFound if there is no such section and \a baseVersion is not 0; Unauthenticated;
/// PermissionDenied; LimitExceeded; InvalidArgument, listing every problem of the resulting
/// document.
struct WriteSection
{
    std::string requestId; ///< a resend with the same ID returns the first result
    std::string section; ///< "cell" or "team.NAME"
    std::uint64_t baseVersion = 0; ///< the version to replace; 0: the section does not exist yet
    std::string author; ///< ID of the key that the write was made with
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
