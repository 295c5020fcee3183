#include "soak/nodesettingsfile.h"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace guavavalve::soak {

namespace {

using Json = nlohmann::json;

std::string at(const std::string &ip, int port)
{
    return ip + ":" + std::to_string(port);
}

Json bounds()
{
    return {{"SeedLagS", 3},
            {"AddrReuseS", 2},
            {"ContactMs", Bounds::contactMs},
            {"AckTimeoutMs", Bounds::ackTimeoutMs},
            {"CatchupS", 4},
            {"DrainMs", Bounds::drainMs},
            {"GraceS", Bounds::graceMs / 1000},
            {"LossSlackMs", 200},
            {"ConfigApplyMs", Bounds::configApplyMs},
            {"DowngradeSlackMs", Bounds::downgradeSlackMs},
            {"MaxStretchMs", 5000},
            {"StrictRevocation", false},
            {"RevokeMs", 5000},
            {"QuotaWindowS", 5},
            {"QuotaOvershoot", 0.1},
            {"QuotaSlack", 20},
            {"RecoveryS", Bounds::recoveryMs / 1000},
            {"MaxHoldMs", Bounds::maxHoldMs},
            {"StopTimeoutMs", 200},
            {"GangTimeoutMs", 3000},
            {"cancel_ms", Bounds::cancelMs},
            {"visible_ms", Bounds::visibleMs},
            {"early_ms", 250},
            {"finish_s", Bounds::finishMs / 1000},
            {"status_s", Bounds::statusMs / 1000},
            {"RemoteSlowdown", 1.5},
            {"CheckpointS", 0.5},
            {"RestoreMs", 600},
            {"NoticeMs", 4500},
            {"MigrateS", 1.5},
            {"MaintenanceS", 2},
            {"EnforceFencing", true},
            {"LeaseMs", 3000},
            {"ThawSlackMs", 300},
            {"PaceMs", 100},
            {"ViolationMs", 4000}};
}

} // namespace

void NodeSettingsFile::write(const std::string &path) const
{
    const bool isReplica = this->machine.isReplica;
    const std::string &ip = this->machine.ip;
    Json seedNodes = Json::array();
    for (const std::string &seed : this->seeds)
        seedNodes.push_back(at(seed, Ports::control));
    Json served;
    if (isReplica)
        served = {{"ControlPlane", at(ip, Ports::control)}};
    else
        served = {{"Frontend", at(ip, Ports::frontend)}, {"Readiness", at(ip, Ports::readiness)}};
    const Json settings{
        {"NodeName", this->machine.name},
        {"Role", isReplica ? "replica" : "entry"},
        {"MachineClass", isReplica ? "core" : "edge"},
        {"Serves", Json::array({isReplica ? "control" : "edge"})},
        {"Ip", ip},
        {"Zone", this->machine.zone},
        {"Region", "region-1"},
        {"Zones", {{"zone-a", "region-1"}, {"zone-b", "region-1"}, {"zone-c", "region-1"}}},
        {"BindAddrs", served},
        {"InternalPorts", Json::array({Ports::firstInternal, Ports::lastInternal})},
        {"SeedNodes", seedNodes},
        {"Bootstrap", this->isFirstStart},
        {"InFaultDomain", isReplica},
        {"Limits",
         {{"CpuShare", isReplica ? 0.5 : 0.25},
          {"CpuCores", 1},
          {"MemoryMb", this->memoryMb},
          {"MaxFds", this->maxFiles},
          {"LinkMbps", 1000.0},
          {"DiskMb", isReplica ? 128 : 0}}},
        {"DataDir", isReplica ? Json(this->dataFolder) : Json()},
        {"Discovery", "registration"},
        {"EntryMode", "vip"},
        {"HeartbeatMs", Bounds::heartbeatMs},
        {"Contracts",
         Json::array({"base", "drain", "config", "cost", "recover", "sched", "tenants", "quota",
                      "advice", "upkeep", "sharing"})},
        {"FaultTolerance", {{"Machines", 2}, {"Zones", 0}, {"Regions", 0}}},
        {"Bounds", bounds()},
        {"config_mode", "highest"},
        {"Orders", "call"},
        {"Advice", ""},
        {"CloudApi",
         {{"Address", ""}, {"RatePerS", 60.0}, {"Duties", Json::array()}, {"DutyPerS", 60.0}}}};
    const std::string temporary = path + ".new";
    std::ofstream(temporary) << settings.dump(2);
    std::filesystem::rename(temporary, path);
}

} // namespace guavavalve::soak
