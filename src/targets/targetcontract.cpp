#include "targets/targetcontract.h"

#include <xxhash.h>

namespace guavavalve {

std::string attemptName(AttemptId attempt)
{
    return std::to_string(idValue(attempt.task)) + "/" + std::to_string(attempt.attempt);
}

std::string answerDigest(std::string_view answer)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int hexDigits = 16;
    XXH64_hash_t hash = XXH64(answer.data(), answer.size(), 0);
    std::string text(hexDigits, '0');
    for (int i = hexDigits - 1; i >= 0; --i) {
        text[static_cast<std::size_t>(i)] = digits[hash & 0xfU];
        hash >>= 4U;
    }
    return text;
}

} // namespace guavavalve
