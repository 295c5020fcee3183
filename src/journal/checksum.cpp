#include "journal/checksum.h"

#include <xxhash.h>

namespace guavavalve {

std::uint64_t checksumOf(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace guavavalve
