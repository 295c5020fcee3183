#pragma once

#include <string>

namespace guavavalve {

/// Who makes an operator's request, as resolved from the bearer token by the daemon.
struct OperatorIdentity
{
    std::string keyId; ///< identity of the key, never its secret
    std::string team; ///< the key's team
    bool isOperator = false; ///< may act on the whole cell and not for its own team alone

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->keyId, this->team, this->isOperator);
    }
};

} // namespace guavavalve
