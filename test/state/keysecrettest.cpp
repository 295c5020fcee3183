#include <catch2/catch.hpp>

#include "state/keysecret.h"

using namespace guavavalve;

TEST_CASE("only the secret that was granted matches the keyed hash", "[keys]")
{
    const std::string cluster = "a cluster's own secret";
    const KeyToken token{"mill-key", generateSecret()};
    CHECK(token.secret.size() == 64);
    CHECK(generateSecret() != token.secret);
    const auto hash = hashSecret(token, cluster);
    REQUIRE(hash.has_value());
    CHECK(hash.value().find(token.secret) == std::string::npos);
    CHECK(secretMatches(token, cluster, hash.value()));
    CHECK_FALSE(secretMatches({"mill-key", generateSecret()}, cluster, hash.value()));
    CHECK_FALSE(secretMatches({"tours-key", token.secret}, cluster, hash.value()));
    CHECK_FALSE(secretMatches(token, "another cluster's secret", hash.value()));
    CHECK_FALSE(secretMatches(token, cluster, ""));
    CHECK(hashSecret(token, "short").has_error());
}

TEST_CASE("a bearer token consists of a key ID and its secret", "[keys]")
{
    const auto token = parseToken("mill-key:abc");
    REQUIRE(token.has_value());
    CHECK(token.value().keyId == "mill-key");
    CHECK(token.value().secret == "abc");
    for (const char *bad : {"", ":", "mill-key", "mill-key:", ":abc", "mill key:abc"})
        CHECK(parseToken(bad).error().code == ErrorCode::Unauthenticated);
}
