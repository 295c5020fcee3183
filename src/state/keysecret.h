#pragma once

#include "core/error.h"

#include <string>

namespace guavavalve {

/// A bearer token, written "KEYID:SECRET". Not part of the replicated state, which holds only the
/// keyed hash of the secret.
struct KeyToken
{
    std::string keyId;
    std::string secret;
};

/// \errors Unauthenticated if \a text is not "KEYID:SECRET".
Result<KeyToken> parseToken(const std::string &text);

/// Generates a secret of 256 random bits, as URL-safe text.
std::string generateSecret();

/// The keyed hash (libsodium's BLAKE2b) of a key's secret, in hexadecimal. \a clusterKey is the
/// cluster's secret: without knowing it, secrets cannot be guessed from a stolen copy of the state.
/// The hash also covers the key ID, so it is not valid for another key.
/// \errors InvalidArgument if \a clusterKey is shorter than 16 bytes.
Result<std::string> hashSecret(const KeyToken &token, const std::string &clusterKey);

/// Whether \a keyedHash was computed from \a token. Compares in constant time.
bool secretMatches(const KeyToken &token, const std::string &clusterKey,
                   const std::string &keyedHash);

} // namespace guavavalve
