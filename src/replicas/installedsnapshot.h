#pragma once

#include "journal/snapshotmeta.h"

#include <string>

namespace guavavalve {

/// A snapshot that has come in whole from the leader, to be stored and restored from.
struct InstalledSnapshot
{
    SnapshotMeta meta;
    std::string state;
};

} // namespace guavavalve
