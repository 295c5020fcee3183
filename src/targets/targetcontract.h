#pragma once

#include "controller/announcement.h"
#include "core/ids.h"

#include <string>
#include <string_view>

namespace guavavalve {

/// \file
/// Paths, headers and formats of the target contract (docs/targets.md), shared with
/// implementations of the target side.

inline constexpr std::string_view outcomeHeader = "Guavavalve-Outcome";
inline constexpr std::string_view answerLengthHeader = "Guavavalve-Answer-Length";
inline constexpr std::string_view answerDigestHeader = "Guavavalve-Answer-Digest";
/// The attempt that a reply is about: "TASK/ATTEMPT".
inline constexpr std::string_view attemptHeader = "Guavavalve-Attempt";

inline constexpr std::string_view attemptsPath = "/v1/attempts";
inline constexpr std::string_view announcePath = "/v1/targets/announce";

/// "TASK/ATTEMPT", as in paths and in attemptHeader.
std::string attemptName(AttemptId attempt);

/// xxHash64 of \a answer with seed 0, as 16 hexadecimal digits.
std::string answerDigest(std::string_view answer);

} // namespace guavavalve
