#include "state/configurationchanges.h"

#include "state/bytecodec.h"

namespace guavavalve {

std::string encodeChanges(const ConfigurationChanges &changes)
{
    return encodeBytes(changes);
}

Result<ConfigurationChanges> decodeChanges(const std::string &bytes)
{
    return decodeBytes<ConfigurationChanges>(bytes, "a change of configuration");
}

} // namespace guavavalve
