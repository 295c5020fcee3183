#pragma once

#include "state/keyrole.h"

#include <string>

namespace guavavalve {

/// Grants an API key. Only a keyed hash of its secret is replicated, never the secret itself.
/// \errors Conflict if the key ID is in use or withdrawn; NotFound if the team is not configured;
/// InvalidArgument; LimitExceeded.
struct GrantKey
{
    std::string requestId; ///< a resend with the same ID returns the first result
    std::string keyId;
    std::string team; ///< empty for an operator without a team
    KeyRole role = KeyRole::Team;
    std::string keyedHash; ///< see hashSecret()
    std::string label; ///< human-readable

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->requestId, this->keyId, this->team, this->role, this->keyedHash, this->label);
    }
};

} // namespace guavavalve
