#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace guavavalve::soak {

/// What a cell of real processes consists of.
struct CellOptions
{
    std::string program; ///< path of guavavalve-node
    std::string folder; ///< settings files, logs and disks; must exist
    int replicas = 5;
    int entries = 2;
    int memoryMb = 260; ///< of each process, as its settings say
    int maxFiles = 4096; ///< descriptors of each process, as its settings say
    std::uint64_t seed = 1; ///< of the delays of restarts
};

/// One machine of a cell: a replica or an entry instance.
struct Machine
{
    int number = 0; ///< unique in the run; a replacement has a number of its own
    std::string name;
    std::string ip;
    std::string zone;
    bool isReplica = false;
};

/// A process that ended without having been signalled.
struct UnexpectedEnd
{
    Machine machine;
    int waitStatus = 0; ///< as returned by waitpid()
    std::string lastOutput;
};

} // namespace guavavalve::soak
