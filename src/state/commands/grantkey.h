#pragma once

#include "state/keyrole.h"

#include <string>

namespace guavavalve {

/// Grants a key. Only a keyed hash of its secret is ever replicated.
/// \errors Conflict if the key identity was ever used; NotFound if the team is not configured.
struct GrantKey
{
    std::string requestId; ///< a resend returns the first result
    std::string keyId;
    std::string team; ///< empty for an operator who belongs to none
    KeyRole role = KeyRole::Team;
    std::string keyedHash; ///< see hashSecret()
    std::string label; ///< for a person to read

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->requestId, this->keyId, this->team, this->role, this->keyedHash, this->label);
    }
};

} // namespace guavavalve
