#pragma once

#include "journal/snapshotmeta.h"

#include <string>

namespace guavavalve {

/// A snapshot that has been received completely from the leader, to be saved and then restored.
struct InstalledSnapshot
{
    SnapshotMeta meta;
    std::string state;
};

} // namespace guavavalve
