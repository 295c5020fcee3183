#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <string>
#include <vector>

namespace guavavalve {

/// A key as shown to operators; its secret is not stored anywhere.
struct KeySummary
{
    std::string keyId;
    std::string team;
    bool isOperator = false;
    std::string label;
    bool withdrawn = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->keyId, this->team, this->isOperator, this->label, this->withdrawn);
    }
};

/// A newly granted key. The token is not stored anywhere and is returned to this request only.
struct KeyGranted
{
    std::string keyId;
    std::string token; ///< the bearer token

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
    std::string label; ///< human-readable
    std::string requestId; ///< a resend with the same request ID gets the same key

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->team, this->isOperator, this->label, this->requestId);
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

/// Withdraws a key. Within seconds every entry refuses the key or stops accepting requests.
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
