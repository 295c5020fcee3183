#include "settings/daemonsettingstable.h"

#include "schema/reference.h"

namespace guavavalve {
namespace internal {

namespace {

using Table = FieldTable<DaemonSettings>;
using Settings = DaemonSettings;

constexpr std::int64_t longestPath = 4096;
constexpr std::int64_t dayMs = 86400000;

void addIdentity(Table &table)
{
    table
        .text("instance", &Settings::instance, TextFormat::Name, {1, 64},
              "Name of this instance, unique in the cluster and kept over restarts.")
        .required = true;
    table
        .text("failureDomain", &Settings::failureDomain, TextFormat::Name, {1, 64},
              "Failure domain that this instance stands in.")
        .required = true;
    table.text("region", &Settings::region, TextFormat::Name, {0, 64},
               "Region of the failure domain; empty where there is only one.");
    table
        .text("cluster.id", &Settings::clusterId, TextFormat::Name, {1, 64},
              "Name of the cluster; frames of another are dropped.")
        .required = true;
    table
        .text("cluster.secretFile", &Settings::clusterSecretFile, TextFormat::Any, {1, longestPath},
              "File that holds the cluster's secret, readable by this process only.")
        .required = true;
    table.text("cluster.dataFolder", &Settings::dataFolder, TextFormat::Any, {0, longestPath},
               "Folder of this instance's replica; empty: it holds none.");
    table.textList("cluster.replicas", &Settings::replicas, TextFormat::Endpoint, {0, 64},
                   "Messenger addresses at which to look for the controller.");
}

void addAddresses(Table &table)
{
    constexpr std::int64_t longest = 64;
    table.text("callers.listen", &Settings::callersListen, TextFormat::Endpoint, {1, longest},
               "Where callers, targets and operators reach this instance by HTTP; port 0: any.");
    table.text("callers.advertise", &Settings::callersAdvertise, TextFormat::Endpoint, {0, longest},
               "The same address as others see it; empty: as listen.");
    table.text("messenger.listen", &Settings::messengerListen, TextFormat::Endpoint, {1, longest},
               "Where other instances reach this one; port 0: any.");
    table.text("messenger.advertise", &Settings::messengerAdvertise, TextFormat::Endpoint,
               {0, longest}, "The same address as others see it; empty: as listen.");
}

void addTimes(Table &table)
{
    table.integer("replication.electionTimeoutMs", &Settings::electionTimeoutMs, Unit::Ms,
                  {100, 60000}, "Silence of the leader after which an election begins.");
    table.integer("replication.heartbeatMs", &Settings::heartbeatMs, Unit::Ms, {10, 10000},
                  "Time between a leader's heartbeats; at most a third of the election timeout.");
    table.integer("replication.goneAfterMs", &Settings::replicaGoneAfterMs, Unit::Ms,
                  {0, 7 * dayMs},
                  "A replica silent for so long is replaced by a spare instance; 0: never.");
    table.integer("replication.snapshotEntries", &Settings::snapshotEntries, Unit::None,
                  {100, 10000000}, "Entries of the log after which a snapshot is taken.");
    table.integer("leases.configurationMs", &Settings::configurationLeaseMs, Unit::Ms, {200, 60000},
                  "An entry that has not renewed this long stops accepting work.");
    table.integer("timeouts.announcementBatchMs", &Settings::announcementBatchMs, Unit::Ms,
                  {1, 1000}, "How long the first announcement of a batch waits for others.");
    table.integer("timeouts.callMs", &Settings::callTimeoutMs, Unit::Ms, {10, 60000},
                  "How long a call to another instance may take.");
    table.integer("timeouts.shutdownNoticeMs", &Settings::shutdownNoticeMs, Unit::Ms, {0, 600000},
                  "How long a shutdown still serves while not ready, for the balancer to notice.");
    table.integer("timeouts.shutdownGraceMs", &Settings::shutdownGraceMs, Unit::Ms, {0, 3600000},
                  "How long a shutdown waits for open requests to finish.");
}

void addLimits(Table &table)
{
    constexpr std::int64_t mega = 1024 * 1024;
    table.integer("limits.workerThreads", &Settings::workerThreads, Unit::None, {1, 256},
                  "Threads that serve requests.");
    table.integer("limits.maxBodyBytes", &Settings::maxBodyBytes, Unit::Bytes, {1024, 8 * mega},
                  "Largest body of a request.");
    table.integer("limits.maxAnswerBytes", &Settings::maxAnswerBytes, Unit::Bytes,
                  {1024, 1024 * mega}, "Largest answer that is relayed.");
    table.integer("limits.maxOpenRequests", &Settings::maxOpenRequests, Unit::None, {1, 1000000},
                  "Requests open at once; more are refused truly.");
    table.integer("limits.maxOpenRequestsPerKey", &Settings::maxOpenRequestsPerKey, Unit::None,
                  {1, 1000000}, "Requests of one key open at once; more are refused truly.");
    table.integer("limits.maxMessengerQueue", &Settings::maxMessengerQueue, Unit::None,
                  {16, 1000000}, "Calls to one peer that wait for a reply; more are refused.");
}

void addReporting(Table &table)
{
    table.choice("log.format", Table::Member<LogFormat>(&Settings::logFormat), logFormatNames,
                 "Lines for people, or JSON lines.");
    table.choice("log.level", Table::Member<LogLevel>(&Settings::logLevel), logLevelNames,
                 "The least severe level that is written.");
    table.text("log.file", &Settings::logFile, TextFormat::Any, {0, longestPath},
               "File to write to; empty: standard error.");
    table.integer("log.queueLines", &Settings::logQueueLines, Unit::None, {16, 1000000},
                  "Lines waiting to be written; beyond it the oldest is dropped and counted.");
    table.integer("retention.finishedJobsMs", &Settings::finishedJobsKeptMs, Unit::Ms,
                  {1000, 30 * dayMs}, "How long a finished job and its idempotency key are kept.");
    table.integer("retention.maxFinishedJobs", &Settings::maxFinishedJobs, Unit::None,
                  {100, 10000000}, "Finished jobs kept at most; the oldest are forgotten.");
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
