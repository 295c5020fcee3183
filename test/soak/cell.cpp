#include "soak/cell.h"

#include "soak/supervisedprocess.h"

#include <algorithm>
#include <sys/resource.h>
#include <utility>

namespace guavavalve::soak {

namespace {

constexpr Milliseconds supervisionPeriod{5};
constexpr int seedCount = 3;
constexpr int firstStartSpreadMs = 300;
constexpr int minRestartMs = 200;
constexpr int maxRestartMs = 1000;

} // namespace

Cell::Cell(CellOptions options, CellHooks hooks)
    : options(std::move(options))
    , hooks(std::move(hooks))
    , random(this->options.seed)
    , supervisor([this] { this->supervise(); })
{}

Cell::~Cell()
{
    {
        const std::lock_guard lock(this->mutex);
        this->isClosing = true;
    }
    this->supervisor.join();
}

void Cell::startAll()
{
    const std::lock_guard lock(this->mutex);
    std::uniform_int_distribution<int> spread(0, firstStartSpreadMs);
    // All machines are told the same seeds, before any of them starts.
    std::vector<std::string> seeds;
    seeds.reserve(seedCount);
    for (int i = 0; i < std::min(seedCount, this->options.replicas); ++i)
        seeds.push_back(this->ipOf(i));
    for (int i = 0; i < this->options.replicas + this->options.entries; ++i)
        this->add(i < this->options.replicas, seeds, true,
                  monotonicNow() + Milliseconds(spread(this->random)));
}

const Machine &Cell::add(bool isReplica, std::vector<std::string> seeds, bool isFirstStart,
                         Instant startAt)
{
    Machine machine;
    machine.number = static_cast<int>(this->nodes.size());
    machine.isReplica = isReplica;
    machine.name = (isReplica ? "core-" : "edge-") + std::to_string(machine.number + 1);
    machine.ip = this->ipOf(machine.number);
    machine.zone = std::string("zone-") + static_cast<char>('a' + machine.number % 3);
    this->nodes.push_back(std::make_unique<SupervisedProcess>(
        std::move(machine), this->options, std::move(seeds), isFirstStart, startAt));
    return this->nodes.back()->machine();
}

std::vector<Machine> Cell::replicas() const
{
    return this->machines(true);
}

std::vector<Machine> Cell::entries() const
{
    return this->machines(false);
}

pid_t Cell::processId(int machine) const
{
    const std::lock_guard lock(this->mutex);
    return this->nodes.at(static_cast<std::size_t>(machine))->processId();
}

std::vector<Machine> Cell::machines(bool areReplicas) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<Machine> found;
    for (const auto &node : this->nodes) {
        if (!node->isRemoved() && node->machine().isReplica == areReplicas)
            found.push_back(node->machine());
    }
    return found;
}

std::optional<Machine> Cell::change(int machine,
                                    const std::function<bool(SupervisedProcess &)> &action)
{
    const std::lock_guard lock(this->mutex);
    SupervisedProcess &node = *this->nodes.at(static_cast<std::size_t>(machine));
    if (node.isRemoved() || !action(node))
        return std::nullopt;
    return node.machine();
}

void Cell::disrupt(int machine, const std::function<bool(SupervisedProcess &)> &action)
{
    if (const auto disrupted = this->change(machine, action))
        this->hooks.disrupted(*disrupted);
}

void Cell::kill(int machine)
{
    this->disrupt(machine, [](SupervisedProcess &node) {
        node.kill();
        return true;
    });
}

void Cell::loseDisk(int machine)
{
    this->disrupt(machine, [](SupervisedProcess &node) {
        node.loseDisk();
        return true;
    });
}

void Cell::terminate(int machine, Instant killAt)
{
    this->disrupt(machine, [killAt](SupervisedProcess &node) { return node.terminate(killAt); });
}

void Cell::freeze(int machine)
{
    this->disrupt(machine, [](SupervisedProcess &node) { return node.freeze(); });
}

void Cell::thaw(int machine)
{
    const auto resumed = this->change(machine, [](SupervisedProcess &node) { return node.thaw(); });
    if (resumed)
        this->hooks.resumed(*resumed);
}

void Cell::fillDisk(int machine)
{
    this->disrupt(machine, [](SupervisedProcess &node) { return node.limitFileSize(0); });
}

void Cell::freeDisk(int machine)
{
    const auto resumed = this->change(
        machine, [](SupervisedProcess &node) { return node.limitFileSize(RLIM_INFINITY); });
    if (resumed)
        this->hooks.resumed(*resumed);
}

void Cell::replace(int machine)
{
    const auto removed = this->change(machine, [](SupervisedProcess &node) {
        node.remove();
        return true;
    });
    if (!removed)
        return;
    this->hooks.disrupted(*removed);
    this->hooks.resumed(*removed);
    std::vector<std::string> seeds;
    for (const Machine &one : this->machines(removed->isReplica)) {
        if (one.isReplica && seeds.size() < seedCount)
            seeds.push_back(one.ip);
    }
    const std::lock_guard lock(this->mutex);
    const std::string newIp = this->add(removed->isReplica, seeds, false, this->nextStart()).ip;
    // Later starts are told current addresses; processes that run keep those that they know.
    for (const auto &node : this->nodes)
        node->replaceSeed(removed->ip, newIp);
}

void Cell::changeSeeds(int machine, std::vector<std::string> seedIps, bool withSignal)
{
    this->change(machine, [&seedIps, withSignal](SupervisedProcess &node) {
        node.changeSeeds(std::move(seedIps));
        if (withSignal)
            node.hangUp();
        return true;
    });
}

void Cell::hangUp(int machine)
{
    this->change(machine, [](SupervisedProcess &node) {
        node.hangUp();
        return true;
    });
}

Instant Cell::nextStart()
{
    std::uniform_int_distribution<int> delay(minRestartMs, maxRestartMs);
    return monotonicNow() + Milliseconds(delay(this->random));
}

void Cell::supervise()
{
    while (true) {
        std::vector<std::function<void()>> reports;
        {
            const std::lock_guard lock(this->mutex);
            if (this->isClosing) {
                this->nodes.clear();
                return;
            }
            for (const auto &node : this->nodes)
                this->step(*node, reports);
        }
        for (const auto &report : reports)
            report();
        std::this_thread::sleep_for(supervisionPeriod);
    }
}

void Cell::step(SupervisedProcess &node, std::vector<std::function<void()>> &reports)
{
    const Machine &machine = node.machine();
    switch (node.step(monotonicNow(), [this] { return this->nextStart(); })) {
    case SupervisedProcess::Change::None:
        break;
    case SupervisedProcess::Change::Started:
        reports.emplace_back([this, machine] {
            this->hooks.resumed(machine);
            this->hooks.log(machine.name + " (" + machine.ip + ") started");
        });
        break;
    case SupervisedProcess::Change::Ended:
        reports.emplace_back([this, end = node.end()] {
            this->hooks.log(end.machine.name + " has ended, wait status "
                            + std::to_string(end.waitStatus));
        });
        break;
    case SupervisedProcess::Change::EndedByItself:
        reports.emplace_back([this, end = node.end()] {
            this->hooks.disrupted(end.machine);
            this->hooks.endedByItself(end);
        });
        break;
    }
}

} // namespace guavavalve::soak
