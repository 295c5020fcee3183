#include "soak/supervisedprocess.h"

#include "scenarios/childprocess.h"
#include "soak/nodesettingsfile.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <utility>

namespace guavavalve::soak {

namespace {

constexpr std::size_t shownOutput = 1500;

std::string tailOf(const std::string &path)
{
    std::ifstream stream(path);
    std::stringstream content;
    content << stream.rdbuf();
    const std::string text = content.str();
    return text.substr(text.size() > shownOutput ? text.size() - shownOutput : 0);
}

} // namespace

SupervisedProcess::SupervisedProcess(Machine machine, const CellOptions &options,
                                     std::vector<std::string> seeds, bool isFirstStart,
                                     Instant startAt)
    : place(std::move(machine))
    , program(options.program)
    , folder(options.folder)
    , basePath(options.folder + "/" + this->place.name)
    , dataFolder(this->place.isReplica ? this->basePath + ".disk" : "")
    , memoryMb(options.memoryMb)
    , maxFiles(options.maxFiles)
    , seeds(std::move(seeds))
    , startAt(startAt)
    , isFirstStart(isFirstStart)
{}

SupervisedProcess::~SupervisedProcess() = default;

SupervisedProcess::Change SupervisedProcess::step(Instant now,
                                                  const std::function<Instant()> &nextStart)
{
    if (!this->process) {
        if (!this->startAt || *this->startAt > now)
            return Change::None;
        this->start();
        return Change::Started;
    }
    if (this->killAt && *this->killAt <= now) {
        this->killAt.reset();
        this->kill();
    }
    const std::optional<int> status = this->process->endStatus();
    if (!status)
        return Change::None;
    this->process.reset();
    this->lastStatus = *status;
    if (!this->removed)
        this->startAt = nextStart();
    const bool isDueToRig = this->isTerminated
        || (this->isKilled && WIFSIGNALED(*status) && WTERMSIG(*status) == SIGKILL);
    return isDueToRig ? Change::Ended : Change::EndedByItself;
}

UnexpectedEnd SupervisedProcess::end() const
{
    return {this->place, this->lastStatus, tailOf(this->basePath + ".log")};
}

void SupervisedProcess::start()
{
    if (this->losesDisk && !this->dataFolder.empty()) {
        std::filesystem::remove_all(this->dataFolder);
        std::filesystem::create_directories(this->dataFolder);
    }
    this->writeSettings();
    const char *path = std::getenv("PATH");
    this->process = std::make_unique<scenarios::ChildProcess>(
        std::vector<std::string>{this->program, this->place.isReplica ? "replica" : "entry",
                                 "--metrics_port=" + std::to_string(Ports::metrics)},
        this->basePath + ".log",
        std::vector<std::string>{"GUAVAVALVE_NODE_FILE=" + this->basePath + ".json",
                                 std::string("PATH=") + (path == nullptr ? "" : path),
                                 "HOME=" + this->folder, "LANG=C"});
    this->startAt.reset();
    this->killAt.reset();
    this->isKilled = false;
    this->isTerminated = false;
    this->losesDisk = false;
    this->isFirstStart = false;
}

pid_t SupervisedProcess::processId() const
{
    return this->process ? this->process->id() : 0;
}

void SupervisedProcess::kill()
{
    if (!this->process)
        return;
    this->isKilled = true;
    this->process->signal(SIGKILL);
}

void SupervisedProcess::loseDisk()
{
    this->losesDisk = true;
    this->kill();
}

void SupervisedProcess::remove()
{
    this->removed = true;
    this->startAt.reset();
    this->kill();
}

bool SupervisedProcess::terminate(Instant killAt)
{
    if (!this->process)
        return false;
    this->isTerminated = true;
    this->killAt = killAt;
    this->process->signal(SIGTERM);
    return true;
}

bool SupervisedProcess::freeze()
{
    if (!this->process)
        return false;
    this->process->signal(SIGSTOP);
    return true;
}

bool SupervisedProcess::limitFileSize(std::uint64_t bytes)
{
    if (!this->process)
        return false;
    this->process->limitFileSize(bytes);
    return true;
}

bool SupervisedProcess::thaw()
{
    if (!this->process)
        return false;
    this->process->signal(SIGCONT);
    return !this->isKilled && !this->isTerminated;
}

void SupervisedProcess::hangUp()
{
    if (this->process)
        this->process->signal(SIGHUP);
}

void SupervisedProcess::changeSeeds(std::vector<std::string> seedIps)
{
    if (this->isFirstStart)
        return; // all machines are told the same seeds at the first start
    this->seeds = std::move(seedIps);
    this->writeSettings();
}

void SupervisedProcess::replaceSeed(const std::string &oldIp, const std::string &newIp)
{
    std::replace(this->seeds.begin(), this->seeds.end(), oldIp, newIp);
}

void SupervisedProcess::writeSettings() const
{
    NodeSettingsFile file;
    file.machine = this->place;
    file.seeds = this->seeds;
    file.dataFolder = this->dataFolder;
    file.isFirstStart = this->isFirstStart;
    file.memoryMb = this->memoryMb;
    file.maxFiles = this->maxFiles;
    file.write(this->basePath + ".json");
}

} // namespace guavavalve::soak
