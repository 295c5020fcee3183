#pragma once

#include "core/error.h"

#include <string>

namespace guavavalve {

/// What a holder of a key shows: "KEYID:SECRET". Not part of the replicated state, which knows
/// only the keyed hash.
struct KeyToken
{
    std::string keyId;
    std::string secret;
};

/// \errors Unauthenticated if \a text is not "KEYID:SECRET".
Result<KeyToken> parseToken(const std::string &text);

/// A secret of 256 random bits, as text that can stand in a URL.
std::string makeSecret();

/// The keyed hash of a key's secret (BLAKE2b by libsodium), in hexadecimal. \a clusterKey is the
/// cluster's own secret: who has stolen only the state cannot try guesses against it. The key's
/// identity goes in too, so that a hash proves nothing for another key.
/// \errors InvalidArgument if \a clusterKey is shorter than 16 bytes.
Result<std::string> hashSecret(const KeyToken &token, const std::string &clusterKey);

/// Whether \a token is the one that \a keyedHash was made of; in constant time.
bool secretMatches(const KeyToken &token, const std::string &clusterKey,
                   const std::string &keyedHash);

} // namespace guavavalve
