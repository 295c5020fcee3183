#pragma once

#include "callers/callerservice.h"
#include "controller/configurationfollower.h"
#include "controller/controllerlink.h"
#include "controller/remotecontroller.h"
#include "daemon/controllermetrics.h"
#include "daemon/replicaruntime.h"
#include "operators/operatorroutes.h"
#include "replicas/tcpmessenger.h"
#include "runtime/httpserver.h"
#include "runtime/metrics.h"
#include "runtime/readiness.h"
#include "runtime/timerqueue.h"
#include "settings/daemonsettings.h"
#include "targets/announcementlistener.h"
#include "targets/dispatcher.h"
#include "targets/httptargetclient.h"

#include <memory>
#include <mutex>
#include <string>

namespace guavavalve {

/// One instance: its entry services, and its replica if a data folder is configured. Only wires the
/// packages together and contains no logic of its own.
class Daemon
{
public:
    /// \a clusterSecret is the shared secret of all instances, at least 16 bytes.
    Daemon(DaemonSettings settings, std::string clusterSecret);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Opens the data folder and the listeners.
    /// \errors if the data folder or a listener cannot be opened; the message says which and why.
    Result<void> start();

    /// Reports not ready, completes the open requests, transfers leadership and closes the
    /// listeners. No accepted request is aborted unless it is still open when the configured grace
    /// period ends.
    void shutDown();

private:
    void serveDispatch();
    void addRoutes();
    void refreshMetrics(Metrics &into);
    void refreshReplicaMetrics(Metrics &into);
    ReplicaRuntime::Hooks replicaHooks();
    OperatorRoutesOptions operatorRoutes();

    DaemonSettings settings;
    std::string clusterSecret;
    Metrics metrics;
    std::mutex controllerMetricsMutex; ///< scrapes may run concurrently
    ControllerMetrics controllerMetrics;
    Readiness readiness;
    TimerQueue timers;
    HttpServer server;
    TcpMessenger messenger;
    std::unique_ptr<ReplicaRuntime> replica;
    std::shared_ptr<ControllerLink> link;
    RemoteController controller;
    std::shared_ptr<ConfigurationFollower> follower;
    HttpTargetClient targets;
    Dispatcher dispatcher;
    std::unique_ptr<AnnouncementListener> announcements;
    std::unique_ptr<CallerService> callers;
};

} // namespace guavavalve
