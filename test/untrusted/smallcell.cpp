#include "untrusted/smallcell.h"

#include "fakes/eventually.h"
#include "soak/httpconnection.h"
#include "soak/nodesettingsfile.h"

#include <algorithm>
#include <chrono>
#include <cinttypes>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace guavavalve::untrusted {

using namespace soak;

namespace {

constexpr std::chrono::seconds answerTimeout{20}; ///< far longer than any answer takes
constexpr std::size_t kilobytesPerMegabyte = 1024;

/// The field \a name of /proc/\a process/status, in kilobytes.
std::size_t memoryOf(pid_t process, const std::string &name)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string field;
    while (status >> field) {
        std::size_t kilobytes = 0;
        if (field == name + ":" && status >> kilobytes)
            return kilobytes;
    }
    return 0;
}

std::size_t openFilesOf(pid_t process)
{
    std::error_code gone;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(process) + "/fd",
                                                    gone);
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace

SmallCell::SmallCell(std::size_t configurationBytes)
{
    CellOptions options;
    options.program = SOAK_PROGRAM;
    options.folder = this->folder.path();
    options.entries = 1;
    options.memoryMb = static_cast<int>(memoryMb);
    options.maxFiles = static_cast<int>(maxFiles);
    CellHooks hooks;
    hooks.disrupted = [](const Machine &) {};
    hooks.resumed = [](const Machine &) {};
    hooks.log = [](const std::string &) {};
    hooks.endedByItself = [this](const UnexpectedEnd &end) {
        const std::lock_guard lock(this->mutex);
        this->ends +=
            end.machine.name + " ended, wait status " + std::to_string(end.waitStatus) + "\n";
    };
    this->cell = std::make_unique<Cell>(options, hooks);
    this->cell->startAll();
    if (!fakes::eventually([&] { return this->configure(configurationBytes); })
        || !fakes::eventually([this] { return this->acceptsJob(); }))
        throw std::runtime_error("the cell does not start");
    for (const Machine &machine : this->machines())
        this->started[machine.number] = this->cell->processId(machine.number);
}

SmallCell::~SmallCell() = default;

bool SmallCell::configure(std::size_t bytes)
{
    nlohmann::json document = this->changes.next();
    constexpr std::size_t keyBytes = 100;
    for (std::size_t i = 0; i < bytes / keyBytes; ++i) {
        const std::string key = std::to_string(i);
        document["Tenants"][0]["ApiKeys"].push_back(key + std::string(keyBytes - key.size(), 'k'));
    }
    const std::string change = document.dump();
    const auto machines = this->cell->replicas();
    return std::any_of(machines.begin(), machines.end(), [&change](const Machine &machine) {
        HttpConnection connection(machine.ip, Ports::control);
        return connection.call("PUT", "/config", {}, change, monotonicNow() + Milliseconds(1000))
                   .status
            == 200;
    });
}

bool SmallCell::acceptsJob()
{
    char name[17];
    std::snprintf(name, sizeof name, "%016" PRIx64, ++this->jobs);
    HttpConnection connection(this->entry().ip, Ports::frontend);
    const auto reply = connection.call(
        "POST", std::string(ChangeSource::jobPrefix) + name,
        {{"Host", ChangeSource::host}, {"X-Api-Key", ChangeSource::apiKey}},
        R"({"TaskSpec":"s","Steps":[{"TaskCount":1,"Cpu":500,"MemMb":64,"EstRuntimeMs":100}]})",
        monotonicNow() + answerTimeout);
    return reply.status == 200;
}

bool SmallCell::answers(const std::string &ip, int port, const std::string &path)
{
    HttpConnection connection(ip, port);
    return connection.call("GET", path, {}, "", monotonicNow() + answerTimeout).status == 200;
}

bool SmallCell::announce(const std::string &address)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto born = std::chrono::duration_cast<Milliseconds>(now).count();
    const std::string report = R"({"Service":")" + std::string(ChangeSource::service)
        + R"(","Address":")" + address
        + R"(","Zone":"zone-a","Version":"v1","Slots":8,"State":"ready","ColdRemainingMs":0,)"
          R"("Capacity":{"Cpu":8000,"MemMb":16000,"Gpus":0},"Labels":["a"],"Sequence":)"
        + std::to_string(++this->reports) + R"(,"born":)" + std::to_string(born) + "}";
    HttpConnection connection(this->replica().ip, Ports::control);
    return connection
               .call("PUT", "/instances/i-" + std::to_string(this->reports), {}, report,
                     monotonicNow() + answerTimeout)
               .status
        == 200;
}

std::vector<Machine> SmallCell::machines() const
{
    std::vector<Machine> machines = this->cell->replicas();
    const std::vector<Machine> entries = this->cell->entries();
    machines.insert(machines.end(), entries.begin(), entries.end());
    return machines;
}

std::string SmallCell::violations()
{
    std::string found;
    for (const Machine &machine : this->machines()) {
        const pid_t process = this->cell->processId(machine.number);
        const std::size_t peak = memoryOf(process, "VmHWM") / kilobytesPerMegabyte;
        const std::size_t files = openFilesOf(process);
        if (process != this->started[machine.number])
            found += machine.name + " is another process than at the start\n";
        if (peak > memoryMb)
            found += machine.name + " peak " + std::to_string(peak) + " MB of "
                + std::to_string(memoryMb) + "\n";
        if (files > maxFiles)
            found += machine.name + " has " + std::to_string(files) + " files open of "
                + std::to_string(maxFiles) + "\n";
    }
    const std::lock_guard lock(this->mutex);
    return found + this->ends;
}

} // namespace guavavalve::untrusted
