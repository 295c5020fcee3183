#include "settings/daemonsettingstable.h"

#include "schema/reference.h"

namespace guavavalve {
namespace internal {

namespace {

using Table = FieldTable<DaemonSettings>;
using Settings = DaemonSettings;

constexpr std::int64_t maxPathLength = 4096;
constexpr std::int64_t dayMs = 86400000;

void addIdentity(Table &table)
{
    table
        .text("instance", &Settings::instance, TextFormat::Name, {1, 64},
              "Name of this instance, unique in the cluster and stable across restarts.")
        .required = true;
    table
        .text("failureDomain", &Settings::failureDomain, TextFormat::Name, {1, 64},
              "Failure domain in which this instance runs.")
        .required = true;
    table.text("region", &Settings::region, TextFormat::Name, {0, 64},
               "Region of the failure domain; empty if there is only one.");
    table
        .text("cluster.id", &Settings::clusterId, TextFormat::Name, {1, 64},
              "Name of the cluster; frames of other clusters are dropped.")
        .required = true;
    table
        .text("cluster.secretFile", &Settings::clusterSecretFile, TextFormat::Any,
              {1, maxPathLength}, "File with the cluster's secret, readable by this process only.")
        .required = true;
    table.text("cluster.dataFolder", &Settings::dataFolder, TextFormat::Any, {0, maxPathLength},
               "Folder of this instance's replica; empty: the instance holds none.");
    table.textList("cluster.replicas", &Settings::replicas, TextFormat::Endpoint, {0, 64},
                   "Messenger addresses used to find the controller.");
}

void addAddresses(Table &table)
{
    constexpr std::int64_t maxLength = 64;
    table.text("callers.listen", &Settings::callersListen, TextFormat::Endpoint, {1, maxLength},
               "HTTP address for callers, targets and operators; port 0: any free port.");
    table.text("callers.advertise", &Settings::callersAdvertise, TextFormat::Endpoint,
               {0, maxLength}, "The same address as others see it; empty: same as callers.listen.");
    table.text("messenger.listen", &Settings::messengerListen, TextFormat::Endpoint, {1, maxLength},
               "Address for other instances; port 0: any free port.");
    table.text("messenger.advertise", &Settings::messengerAdvertise, TextFormat::Endpoint,
               {0, maxLength},
               "The same address as others see it; empty: same as messenger.listen.");
}

void addTimes(Table &table)
{
    table.integer("replication.electionTimeoutMs", &Settings::electionTimeoutMs, Unit::Ms,
                  {100, 60000},
                  "Time without a message from the leader after which an election starts.");
    table.integer("replication.heartbeatMs", &Settings::heartbeatMs, Unit::Ms, {10, 10000},
                  "Interval of a leader's heartbeats; at most a third of the election timeout.");
    table.integer("replication.goneAfterMs", &Settings::replicaGoneAfterMs, Unit::Ms,
                  {0, 7 * dayMs},
                  "Silence after which a replica is replaced by a spare instance; 0: never.");
    table.integer("replication.snapshotEntries", &Settings::snapshotEntries, Unit::None,
                  {100, 10000000}, "Number of log entries after which a snapshot is taken.");
    table.integer("leases.configurationMs", &Settings::configurationLeaseMs, Unit::Ms, {200, 60000},
                  "Lease on the configuration; an entry instance that does not renew it stops "
                  "accepting work.");
    table.integer("timeouts.announcementBatchMs", &Settings::announcementBatchMs, Unit::Ms,
                  {1, 1000},
                  "How long the first announcement of a batch waits for others to join it.");
    table.integer("timeouts.callMs", &Settings::callTimeoutMs, Unit::Ms, {10, 60000},
                  "Timeout of a call to another instance.");
    table.integer(
        "timeouts.shutdownNoticeMs", &Settings::shutdownNoticeMs, Unit::Ms, {0, 600000},
        "How long a shutdown keeps serving while not ready, so that load balancers notice.");
    table.integer("timeouts.shutdownGraceMs", &Settings::shutdownGraceMs, Unit::Ms, {0, 3600000},
                  "How long a shutdown waits for open requests to finish.");
}

void addLimits(Table &table)
{
    constexpr std::int64_t mebibyte = 1024 * 1024;
    table.integer("limits.workerThreads", &Settings::workerThreads, Unit::None, {1, 256},
                  "Threads that serve requests.");
    table.integer("limits.maxBodyBytes", &Settings::maxBodyBytes, Unit::Bytes, {1024, 8 * mebibyte},
                  "Maximum size of a request body.");
    table.integer("limits.maxAnswerBytes", &Settings::maxAnswerBytes, Unit::Bytes,
                  {1024, 1024 * mebibyte}, "Maximum size of a relayed answer.");
    table.integer("limits.maxOpenRequests", &Settings::maxOpenRequests, Unit::None, {1, 1000000},
                  "Maximum number of open requests; more are refused and never run.");
    table.integer("limits.maxOpenRequestsPerKey", &Settings::maxOpenRequestsPerKey, Unit::None,
                  {1, 1000000},
                  "Maximum number of open requests of one key; more are refused and never run.");
    table.integer("limits.maxMessengerQueue", &Settings::maxMessengerQueue, Unit::None,
                  {16, 1000000},
                  "Maximum number of calls to one peer that await a reply; more are refused.");
}

void addReporting(Table &table)
{
    table.choice("log.format", Table::Member<LogFormat>(&Settings::logFormat), logFormatNames,
                 "Human-readable lines, or JSON lines.");
    table.choice("log.level", Table::Member<LogLevel>(&Settings::logLevel), logLevelNames,
                 "The least severe level that is written.");
    table.text("log.file", &Settings::logFile, TextFormat::Any, {0, maxPathLength},
               "File to write to; empty: standard error.");
    table.integer("log.queueLines", &Settings::logQueueLines, Unit::None, {16, 1000000},
                  "Maximum number of waiting lines; beyond it the oldest is dropped and counted.");
    table.integer("retention.finishedJobsMs", &Settings::finishedJobsKeptMs, Unit::Ms,
                  {1000, 30 * dayMs}, "How long a finished job and its idempotency key are kept.");
    table.integer("retention.maxFinishedJobs", &Settings::maxFinishedJobs, Unit::None,
                  {100, 10000000},
                  "Maximum number of finished jobs kept; the oldest are discarded.");
}

Table makeTable()
{
    Table table;
    addIdentity(table);
    addAddresses(table);
    addTimes(table);
    addLimits(table);
    addReporting(table);
    return table;
}

} // namespace

} // namespace internal

const FieldTable<DaemonSettings> &daemonSettingsTable()
{
    static const FieldTable<DaemonSettings> table = internal::makeTable();
    return table;
}

std::string settingsHelp()
{
    return helpText(daemonSettingsTable().specs());
}

std::string settingsReferencePage()
{
    return referencePage("Settings of the daemon", daemonSettingsTable().specs());
}

} // namespace guavavalve
