#pragma once

#include "state/keyrole.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// A granted API key. Its secret is known only to its holder.
struct KeyRecord
{
    std::string id;
    std::string team; ///< empty for an operator without a team
    KeyRole role = KeyRole::Team;
    std::string keyedHash; ///< cleared when the key is withdrawn
    std::string label;
    bool withdrawn = false;
    std::uint64_t changedInVersion = 0; ///< document version of the last change

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->team, this->role, this->keyedHash, this->label, this->withdrawn,
                this->changedInVersion);
    }
};

} // namespace guavavalve
