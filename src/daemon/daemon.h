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

/// One instance: its entry, and its replica if it has a data folder. Composes the packages and
/// holds no logic of its own.
class Daemon
{
public:
    /// \a clusterSecret is the shared secret of all instances, at least 16 bytes.
    Daemon(DaemonSettings settings, std::string clusterSecret);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Opens the data folder and the listeners.
    /// \errors what could not be opened, and why.
    Result<void> start();

    /// Not ready first, then finishes what is open, hands over leadership and closes. No request
    /// that has been taken is cut off, unless it outlasts the configured grace.
    void shutDown();

private:
    void serveDispatch();
    void addRoutes();
    void refreshMetrics(Metrics &into);
    void refreshReplicaMetrics(Metrics &into);
    ReplicaPart::Hooks replicaHooks();
    OperatorRoutesOptions operatorRoutes();

    DaemonSettings settings;
    std::string clusterSecret;
    Metrics metrics;
    std::mutex controllerMetricsMutex; ///< two scrapes may come at once
    ControllerMetrics controllerMetrics;
    Readiness readiness;
    TimerQueue timers;
    HttpServer server;
    TcpMessenger messenger;
    std::unique_ptr<ReplicaPart> replica;
    std::shared_ptr<ControllerLink> link;
    RemoteController controller;
    std::shared_ptr<ConfigurationFollower> follower;
    HttpTargetClient targets;
    Dispatcher dispatcher;
    std::unique_ptr<AnnouncementListener> announcements;
    std::unique_ptr<CallerService> callers;
};

} // namespace guavavalve
