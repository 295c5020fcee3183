#pragma once

#include "core/ids.h"
#include "core/logformat.h"
#include "core/loglevel.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// The settings of a daemon. Their table, with units, ranges and descriptions, is in
/// daemonsettingstable.cpp; a member's initial value is the setting's default.
///
/// Times are durations in milliseconds, as configured; code that uses one stores the deadline that
/// results from it.
struct DaemonSettings
{
    InstanceId instance;
    std::string failureDomain;
    std::string region;
    std::string clusterId;
    std::string clusterSecretFile;
    std::string dataFolder; ///< empty: this instance holds no replica

    std::string callersListen = "127.0.0.1:7080";
    std::string messengerListen = "127.0.0.1:7081";
    std::string callersAdvertise; ///< empty: same as callersListen
    std::string messengerAdvertise; ///< empty: same as messengerListen
    std::vector<std::string> replicas; ///< messenger addresses used to find the controller

    std::int64_t electionTimeoutMs = 1000;
    std::int64_t heartbeatMs = 100;
    std::int64_t replicaGoneAfterMs = 0;
    std::int64_t configurationLeaseMs = 4000;
    std::int64_t announcementBatchMs = 5;
    std::int64_t callTimeoutMs = 5000;
    std::int64_t shutdownNoticeMs = 500;
    std::int64_t shutdownGraceMs = 30000;

    std::int64_t workerThreads = 4;
    std::int64_t maxBodyBytes = 1048576;
    std::int64_t maxAnswerBytes = 67108864;
    std::int64_t maxOpenRequests = 8192;
    std::int64_t maxOpenRequestsPerKey = 1024;
    std::int64_t maxMessengerQueue = 16384;

    LogFormat logFormat = LogFormat::Text;
    LogLevel logLevel = LogLevel::Information;
    std::string logFile; ///< empty: standard error
    std::int64_t logQueueLines = 8192;

    std::int64_t finishedJobsKeptMs = 600000;
    std::int64_t maxFinishedJobs = 100000;
    std::int64_t snapshotEntries = 50000;

    bool holdsReplica() const { return !this->dataFolder.empty(); }
};

} // namespace guavavalve
