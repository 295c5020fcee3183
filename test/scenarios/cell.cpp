#include "scenarios/cell.h"

#include "fakes/httpcaller.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <stdexcept>
#include <thread>

namespace scenarios {

namespace {

constexpr std::chrono::seconds waitTimeout{60};
constexpr std::chrono::milliseconds pollInterval{50};

/// A free port below the ephemeral range: a free ephemeral port could be taken by any outgoing
/// connection before its listener has started.
std::uint16_t freePort()
{
    constexpr std::uint16_t lowest = 10000;
    constexpr std::uint16_t highest = 32000;
    static std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<std::uint16_t> ports(lowest, highest);
    boost::asio::io_context context;
    for (;;) {
        const std::uint16_t port = ports(random);
        boost::asio::ip::tcp::acceptor probe(context);
        boost::system::error_code taken;
        probe.open(boost::asio::ip::tcp::v4());
        probe.bind({boost::asio::ip::address_v4::loopback(), port}, taken);
        if (!taken)
            return port;
    }
}

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

void waitUntil(const std::string &what, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            throw std::runtime_error("timed out waiting until " + what);
        std::this_thread::sleep_for(pollInterval);
    }
}

Cell::Cell(std::string build, std::string folder)
    : build(std::move(build))
    , folder(std::move(folder))
    , secret("a cluster secret for scenarios")
{}

Cell::~Cell() = default;

std::string Cell::logPath(const std::string &name) const
{
    return this->folder + "/" + name + ".log";
}

std::string Cell::entryName(std::size_t index) const
{
    return "entry-" + std::to_string(index + 1);
}

std::string Cell::servers() const
{
    std::string list;
    for (const Entry &each : this->entries)
        list += (list.empty() ? "" : ",") + local(each.callersPort);
    return list;
}

std::string Cell::runTool(const std::string &arguments, const std::string &withKey, int &status)
{
    return runCommand(this->build + "/guavavalve " + arguments + " --server=" + this->servers()
                          + " '--key=" + withKey + "'",
                      status);
}

std::string Cell::runAsOperator(const std::string &arguments)
{
    int status = 0;
    std::string printed = this->runTool(arguments, this->operatorKey, status);
    if (status != 0)
        throw std::runtime_error("the tool's " + arguments + " failed: " + printed);
    return printed;
}

void Cell::writeSettings(std::size_t index) const
{
    const Entry &own = this->entries[index];
    nlohmann::json replicas = nlohmann::json::array();
    for (const Entry &each : this->entries)
        replicas.push_back(local(each.messengerPort));
    const std::string name = this->entryName(index);
    const nlohmann::json settings{{"instance", name},
                                  {"failureDomain", "domain-" + std::to_string(index + 1)},
                                  {"cluster",
                                   {{"id", "scenario"},
                                    {"secretFile", this->folder + "/secret"},
                                    {"dataFolder", this->folder + "/" + name},
                                    {"replicas", replicas}}},
                                  {"callers", {{"listen", local(own.callersPort)}}},
                                  {"messenger", {{"listen", local(own.messengerPort)}}}};
    std::ofstream(this->folder + "/" + name + ".json") << settings.dump(2);
}

bool Cell::isUp(int number, const std::string &path) const
{
    try {
        return fakes::callHttp("GET", this->entryUrl(number) + path).status == 200;
    } catch (const std::exception &) {
        return false;
    }
}

void Cell::startEntries(int count)
{
    std::ofstream(this->folder + "/secret") << this->secret;
    this->entries.resize(static_cast<std::size_t>(count));
    for (Entry &each : this->entries) {
        each.callersPort = freePort();
        each.messengerPort = freePort();
    }
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        std::filesystem::create_directory(this->folder + "/" + this->entryName(i));
        this->writeSettings(i);
        this->restartEntry(static_cast<int>(i + 1));
    }
    this->formAndConfigure();
    for (int i = 1; i <= count; ++i)
        waitUntil("entry " + std::to_string(i) + " is ready",
                  [&] { return this->isUp(i, "/readyz"); });
}

void Cell::formAndConfigure()
{
    std::string members;
    for (std::size_t i = 0; i < this->entries.size(); ++i)
        members += " " + this->entryName(i) + "=" + local(this->entries[i].messengerPort);
    const std::string clusterKey = "cluster-secret:" + this->secret;
    int status = 1;
    // A failed formation keeps its members reserved for 10 s, and an immediate retry through
    // another entry reserves them anew. So all entries must be up first, and a failed attempt is
    // retried only after its reservation has expired.
    constexpr std::chrono::seconds reservation{11};
    for (int i = 1; i <= this->entryCount(); ++i)
        waitUntil("entry " + std::to_string(i) + " is up",
                  [&] { return this->isUp(i, "/healthz"); });
    waitUntil("the group is formed", [&] {
        const std::string printed = this->runTool("form" + members, clusterKey, status);
        if (status == 0)
            return true;
        std::cout << "form: " << printed << std::endl;
        std::this_thread::sleep_for(reservation);
        return false;
    });
    waitUntil("an operator's key is granted", [&] {
        this->operatorKey = this->runTool("keys grant --role=operator", clusterKey, status);
        return status == 0;
    });
    const std::string section = this->folder + "/team.section";
    std::ofstream(section) << R"({"description": "the stories' team", "share": 100})";
    waitUntil("the team is configured", [&] {
        this->runTool("config set team.mill " + section, this->operatorKey, status);
        return status == 0;
    });
    this->key = this->runAsOperator("keys grant --team=mill");
}

void Cell::restartEntry(int number)
{
    const auto index = static_cast<std::size_t>(number - 1);
    const std::string name = this->entryName(index);
    this->entries[index].process = std::make_unique<ChildProcess>(
        std::vector<std::string>{this->build + "/guavavalved",
                                 "--settings=" + this->folder + "/" + name + ".json"},
        this->logPath(name));
}

void Cell::startTargets(int count, const std::vector<std::string> &flags)
{
    for (int i = 1; i <= count; ++i) {
        const std::string name = "target-" + std::to_string(this->targets.size() + 1);
        Target target;
        target.port = freePort();
        target.forwarder = std::make_unique<Forwarder>(target.port);
        target.arguments = {this->build + "/standintarget",
                            "--name=" + name,
                            "--port=" + std::to_string(target.port),
                            "--announced_address=" + local(target.forwarder->port()),
                            "--entries=" + this->servers(),
                            "--failure_domain=domain-" + std::to_string(i),
                            "--ledger=" + this->folder + "/" + name + ".ledger"};
        for (const std::string &flag : flags)
            target.arguments.push_back("--" + flag);
        this->targets.push_back(std::move(target));
        this->restartTarget(static_cast<int>(this->targets.size()));
    }
    waitUntil("the targets are ready", [&] {
        const std::string list = this->runAsOperator("targets list");
        int ready = 0;
        for (std::size_t at = list.find(" ready "); at != std::string::npos;
             at = list.find(" ready ", at + 1))
            ++ready;
        return ready == this->targetCount();
    });
}

void Cell::restartTarget(int number)
{
    Target &target = this->targets.at(static_cast<std::size_t>(number - 1));
    target.process = std::make_unique<ChildProcess>(
        target.arguments, this->logPath("target-" + std::to_string(number)));
}

ChildProcess &Cell::entry(int number)
{
    return *this->entries.at(static_cast<std::size_t>(number - 1)).process;
}

ChildProcess &Cell::target(int number)
{
    return *this->targets.at(static_cast<std::size_t>(number - 1)).process;
}

Forwarder &Cell::forwarder(int number)
{
    return *this->targets.at(static_cast<std::size_t>(number - 1)).forwarder;
}

int Cell::controller()
{
    int leader = 0;
    waitUntil("a replica leads", [&] {
        int status = 0;
        const std::string printed = this->runTool("replicas status", this->operatorKey, status);
        const std::string prefix = "leader entry-";
        const std::size_t at = printed.find(prefix);
        if (status == 0 && at != std::string::npos)
            leader = std::atoi(printed.c_str() + at + prefix.size());
        return leader > 0;
    });
    return leader;
}

std::string Cell::entryUrl(int number) const
{
    return "http://" + local(this->entries.at(static_cast<std::size_t>(number - 1)).callersPort);
}

std::string Cell::targetUrl(int number) const
{
    return "http://" + local(this->targets.at(static_cast<std::size_t>(number - 1)).port);
}

std::vector<std::string> Cell::startLogLines() const
{
    std::vector<std::string> lines;
    for (std::size_t i = 1; i <= this->targets.size(); ++i) {
        std::ifstream file(this->folder + "/target-" + std::to_string(i) + ".ledger");
        for (std::string line; std::getline(file, line);)
            lines.push_back(line);
    }
    return lines;
}

} // namespace scenarios
