#pragma once

#include "soak/celloptions.h"

#include <string>
#include <vector>

namespace guavavalve::soak {

/// Ports of every machine of a cell.
struct Ports
{
    static constexpr int frontend = 21000;
    static constexpr int readiness = 21001;
    static constexpr int control = 21002;
    static constexpr int target = 21003;
    static constexpr int firstInternal = 21010;
    static constexpr int lastInternal = 21025;
    static constexpr int metrics = 21030;
};

/// The promised bounds that the checks use; the settings files carry the same values.
struct Bounds
{
    static constexpr int contactMs = 3000;
    static constexpr int ackTimeoutMs = 4000;
    static constexpr int configApplyMs = 2000;
    static constexpr int downgradeSlackMs = 250;
    static constexpr int recoveryMs = 12000;
    static constexpr int graceMs = 6000;
    static constexpr int drainMs = 2000;
    static constexpr int maxHoldMs = 6000;
    static constexpr int cancelMs = 3000;
    static constexpr int visibleMs = 3000;
    static constexpr int finishMs = 14000;
    static constexpr int statusMs = 120000;
    static constexpr int heartbeatMs = 1500;
    static constexpr int targetCpu = 8000; ///< thousandths of a core
};

/// What a machine is told at its start.
struct NodeSettingsFile
{
    Machine machine;
    std::vector<std::string> seeds; ///< IPs
    std::string dataFolder; ///< empty for an entry
    bool isFirstStart = false;
    int memoryMb = 0;
    int maxFiles = 0; ///< descriptors

    /// Replaces the file at \a path as a whole.
    void write(const std::string &path) const;
};

} // namespace guavavalve::soak
