#pragma once

#include "state/keyrole.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// A granted key. Its secret is known to nobody but its holder.
struct KeyRecord
{
    std::string id;
    std::string team; ///< empty for an operator who belongs to none
    KeyRole role = KeyRole::Team;
    std::string keyedHash; ///< emptied by the withdrawal
    std::string label;
    bool withdrawn = false;
    std::uint64_t changedAt = 0; ///< version of the document that brought the last change

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->team, this->role, this->keyedHash, this->label, this->withdrawn,
                this->changedAt);
    }
};

} // namespace guavavalve
