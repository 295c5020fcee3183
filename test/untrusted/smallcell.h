#pragma once

#include "replicas/temporaryfolder.h"
#include "soak/cell.h"
#include "soak/changesource.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace guavavalve::untrusted {

/// Five replicas and an entry as real processes, which are told that their machines are small, with
/// a configuration in force. The bounds are those that the processes are told.
class SmallCell
{
public:
    static constexpr std::size_t memoryMb = 64; ///< of each process
    static constexpr std::size_t maxFiles = 600; ///< descriptors of each process

    /// \a configurationBytes: size of the configuration at least.
    explicit SmallCell(std::size_t configurationBytes = 0);
    ~SmallCell();

    soak::Machine entry() const { return this->cell->entries().front(); }
    soak::Machine replica() const { return this->cell->replicas().front(); }
    std::string targetIp(int number) const { return this->cell->targetIp(number); }

    /// Submits a job at the entry; true if it is accepted.
    bool acceptsJob();
    /// GET \a path; true for status 200.
    static bool answers(const std::string &ip, int port, const std::string &path);
    /// Registers \a address as a target; true if that is acknowledged.
    bool announce(const std::string &address);

    /// The processes that ended or were replaced, and those whose peak memory or open descriptors
    /// are above their limits; empty if there is none.
    std::string violations();

private:
    bool configure(std::size_t bytes);
    std::vector<soak::Machine> machines() const;

    TemporaryFolder folder;
    std::mutex mutex;
    std::string ends;
    soak::ChangeSource changes{1};
    std::unique_ptr<soak::Cell> cell;
    std::map<int, pid_t> started; ///< processes at the start, by machine
    std::uint64_t jobs = 0;
    std::uint64_t reports = 0;
};

} // namespace guavavalve::untrusted
