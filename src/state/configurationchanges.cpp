#include "state/configurationchanges.h"

#include "core/codec.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace guavavalve {

std::string encodeChanges(const ConfigurationChanges &changes)
{
    return encode(changes);
}

Result<ConfigurationChanges> decodeChanges(const std::string &bytes)
{
    return decode<ConfigurationChanges>(bytes);
}

} // namespace guavavalve
