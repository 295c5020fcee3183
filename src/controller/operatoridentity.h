#pragma once

#include <string>

namespace guavavalve {

/// The sender of an operator's request, as resolved from the bearer token by the daemon.
struct OperatorIdentity
{
    std::string keyId; ///< identity of the key, never its secret
    std::string team; ///< the key's team
    bool isOperator = false; ///< may act on the whole cell, not only for its own team

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->keyId, this->team, this->isOperator);
    }
};

} // namespace guavavalve
