#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <string>
#include <vector>

namespace guavavalve {

/// A key as operators see it; its secret is not kept anywhere.
struct KeySummary
{
    std::string keyId;
    std::string team;
    bool isOperator = false;
    bool withdrawn = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->keyId, this->team, this->isOperator, this->withdrawn);
    }
};

/// A newly granted key. The token is shown this once.
struct KeyGranted
{
    std::string keyId;
    std::string token; ///< the bearer token; empty when the same request was granted before

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->keyId, this->token);
    }
};

struct GrantKeyRequest
{
    using Reply = KeyGranted;
    std::string team;
    bool isOperator = false;
    std::string requestId; ///< a resend under the same identity grants no second key

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->team, this->isOperator, this->requestId);
    }
};

struct KeyList
{
    std::vector<KeySummary> keys;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->keys);
    }
};

struct ListKeysRequest
{
    using Reply = KeyList;

    template<typename Archive>
    void serialize(Archive &)
    {}
};

/// Withdraws a key. Entries refuse it within seconds, or stop accepting.
struct WithdrawKeyRequest
{
    using Reply = KeySummary;
    std::string keyId;
    std::string requestId;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->keyId, this->requestId);
    }
};

} // namespace guavavalve
