#include "state/keysecret.h"

#include "schema/fieldcheck.h"

#include <sodium.h>

#include <array>
#include <cstdlib>

namespace guavavalve {
namespace internal {

namespace {

constexpr std::size_t secretBytes = 32;
constexpr std::size_t maxSecretBytes = 256;
constexpr std::size_t minClusterKeyBytes = 16;

std::string hexText(const unsigned char *bytes, std::size_t size)
{
    std::string text(size * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes, size);
    text.pop_back();
    return text;
}

/// Safe to call repeatedly and from any thread. Aborts on failure, since libsodium's random numbers
/// are not secure without initialisation.
void initializeSodium()
{
    if (sodium_init() < 0)
        std::abort();
}

} // namespace

} // namespace internal

Result<KeyToken> parseToken(const std::string &text)
{
    const std::size_t colon = text.find(':');
    KeyToken token;
    if (colon != std::string::npos) {
        token.keyId = text.substr(0, colon);
        token.secret = text.substr(colon + 1);
    }
    if (!isName(token.keyId) || token.secret.empty()
        || token.secret.size() > internal::maxSecretBytes)
        return failure(ErrorCode::Unauthenticated, "a bearer token has the form KEYID:SECRET");
    return token;
}

std::string generateSecret()
{
    internal::initializeSodium();
    std::array<unsigned char, internal::secretBytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::string text = internal::hexText(bytes.data(), bytes.size());
    sodium_memzero(bytes.data(), bytes.size());
    return text;
}

Result<std::string> hashSecret(const KeyToken &token, const std::string &clusterKey)
{
    internal::initializeSodium();
    if (clusterKey.size() < internal::minClusterKeyBytes)
        return failure(ErrorCode::InvalidArgument,
                       "the cluster's secret must have at least 16 bytes");
    // The cluster's secret has no fixed length, but the key of the hash function has.
    std::array<unsigned char, crypto_generichash_KEYBYTES> key{};
    crypto_generichash(key.data(), key.size(),
                       reinterpret_cast<const unsigned char *>(clusterKey.data()),
                       clusterKey.size(), nullptr, 0);
    const std::string message = token.keyId + '\0' + token.secret;
    std::array<unsigned char, crypto_generichash_BYTES> hash{};
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char *>(message.data()), message.size(),
                       key.data(), key.size());
    sodium_memzero(key.data(), key.size());
    return internal::hexText(hash.data(), hash.size());
}

bool secretMatches(const KeyToken &token, const std::string &clusterKey,
                   const std::string &keyedHash)
{
    const auto hash = hashSecret(token, clusterKey);
    if (hash.has_error() || hash.value().size() != keyedHash.size())
        return false;
    return sodium_memcmp(hash.value().data(), keyedHash.data(), keyedHash.size()) == 0;
}

} // namespace guavavalve
