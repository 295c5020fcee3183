#include "daemon/daemon.h"

#include "controller/instancemetrics.h"
#include "core/codec.h"
#include "operators/operatoridentification.h"
#include "runtime/logging.h"
#include "runtime/serviceroutes.h"

#include <thread>
#include <utility>

namespace guavavalve {

namespace {

constexpr Milliseconds orderTimeout{1000};
constexpr Milliseconds leadershipTransferTimeout{3000};

HttpServerOptions httpOptions(const DaemonSettings &settings)
{
    HttpServerOptions options;
    const std::size_t colon = settings.callersListen.rfind(':');
    options.address = settings.callersListen.substr(0, colon);
    options.port = static_cast<std::uint16_t>(std::stoul(settings.callersListen.substr(colon + 1)));
    options.maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes);
    options.maxInFlight = static_cast<std::size_t>(settings.maxOpenRequests);
    // The load balancer is a single peer for all callers.
    options.maxInFlightPerPeer = options.maxInFlight;
    return options;
}

MessengerOptions messengerOptions(const DaemonSettings &settings, const std::string &secret)
{
    MessengerOptions options;
    options.instance = settings.instance;
    options.listenAddress = settings.messengerListen;
    options.clusterId = settings.clusterId;
    options.sharedSecret = secret;
    options.maxQueuedCalls = static_cast<std::size_t>(settings.maxMessengerQueue);
    return options;
}

HttpTargetClientOptions targetOptions(const DaemonSettings &settings)
{
    HttpTargetClientOptions options;
    options.maxAnswerBytes = static_cast<std::size_t>(settings.maxAnswerBytes);
    return options;
}

AnnouncementListenerOptions announcementOptions(const DaemonSettings &settings)
{
    AnnouncementListenerOptions options;
    options.batchDelay = Milliseconds(settings.announcementBatchMs);
    return options;
}

std::shared_ptr<ControllerLink> makeLink(Messenger &messenger, const DaemonSettings &settings,
                                         TimerQueue &timers)
{
    return std::make_shared<ControllerLink>(
        messenger, settings.replicas, [&timers](Milliseconds wait, std::function<void()> action) {
            timers.runAfter(wait, std::move(action));
        });
}

std::shared_ptr<ConfigurationFollower> makeFollower(const DaemonSettings &settings,
                                                    const std::string &secret, TimerQueue &timers,
                                                    RemoteController &controller)
{
    ConfigurationFollower::Options options;
    options.instance = settings.instance;
    options.address = settings.messengerAdvertise;
    options.clusterSecret = secret;
    options.holdsReplica = settings.holdsReplica();
    options.delay = [&timers](Milliseconds wait, std::function<void()> action) {
        timers.runAfter(wait, std::move(action));
    };
    return std::make_shared<ConfigurationFollower>(std::move(options), controller);
}

} // namespace

Daemon::Daemon(DaemonSettings given, std::string secret)
    : settings(std::move(given))
    , clusterSecret(std::move(secret))
    , server(httpOptions(this->settings))
    , messenger(messengerOptions(this->settings, this->clusterSecret))
    , link(makeLink(this->messenger, this->settings, this->timers))
    , controller(this->link)
    , follower(makeFollower(this->settings, this->clusterSecret, this->timers, this->controller))
    , targets(this->timers, targetOptions(this->settings))
    , dispatcher(this->controller, this->targets, this->timers, DispatcherOptions())
{}

Daemon::~Daemon()
{
    this->follower->stop();
    this->server.close();
    this->messenger.stop();
    if (this->replica)
        this->replica->stop();
}

Result<void> Daemon::start()
{
    this->serveDispatch();
    if (this->settings.holdsReplica()) {
        auto opened = ReplicaRuntime::open(this->settings, this->clusterSecret, this->messenger,
                                           this->replicaHooks());
        if (!opened)
            return opened.error();
        this->replica = std::move(opened).value();
    }
    this->addRoutes();
    BOOST_OUTCOME_TRYV(this->messenger.start());
    BOOST_OUTCOME_TRYV(this->server.start());
    this->follower->start();
    this->readiness.addCondition(NotReadyReason::NoConfigurationLease,
                                 [this] { return this->follower->holdsLease(); });
    this->readiness.started();
    logEvent(LogLevel::Information, "instance started",
             {{"instance", this->settings.instance},
              {"region", this->settings.region},
              {"failureDomain", this->settings.failureDomain},
              {"callers", this->settings.callersAdvertise},
              {"messenger", this->settings.messengerListen}});
    return boost::outcome_v2::success();
}

void Daemon::shutDown()
{
    logEvent(LogLevel::Information, "shutdown begins", {{"instance", this->settings.instance}});
    this->readiness.beginShutdown();
    // The load balancer keeps sending requests until it has noticed that this instance is not
    // ready. They are still served: rejecting them would fail callers needlessly.
    std::this_thread::sleep_for(Milliseconds(this->settings.shutdownNoticeMs));
    this->server.stopAccepting();
    const Instant deadline = monotonicNow() + Milliseconds(this->settings.shutdownGraceMs);
    if (!this->server.waitUntilIdle(deadline)) {
        logEvent(LogLevel::Warning, "requests still open at the end of the shutdown grace period",
                 {{"open", std::to_string(this->server.inFlight())}});
    }
    this->follower->stop();
    if (this->replica)
        this->replica->transferLeadership(monotonicNow() + leadershipTransferTimeout);
    this->server.close();
    logEvent(LogLevel::Information, "shutdown ends", {{"instance", this->settings.instance}});
}

void Daemon::serveDispatch()
{
    this->messenger.handle(
        Method::Dispatch,
        [this](const InstanceId &, const std::string &payload, const Done<std::string> &reply) {
            auto orders = decode<std::vector<DispatchOrder>>(payload);
            if (!orders) {
                reply(orders.error());
                return;
            }
            this->dispatcher.dispatch(std::move(orders).value());
            reply(encode(Nothing()));
        });
}

ReplicaRuntime::Hooks Daemon::replicaHooks()
{
    ReplicaRuntime::Hooks hooks;
    hooks.sendOrders = [this](const std::string &address, const std::vector<DispatchOrder> &orders,
                              const Done<Nothing> &done) {
        this->messenger.call(address, Method::Dispatch, encode(orders),
                             monotonicNow() + orderTimeout,
                             [done](const Result<std::string> &reply) {
                                 if (reply)
                                     done(Nothing());
                                 else
                                     done(reply.error());
                             });
    };
    hooks.observeWait = [this](const std::string &team, std::uint8_t workClass, double seconds) {
        const auto name = enumName(workClassNames, static_cast<WorkClass>(workClass));
        this->metrics.observe(Metric::WaitingSeconds, seconds, {team, std::string(name)});
    };
    return hooks;
}

void Daemon::addRoutes()
{
    addServiceRoutes(this->server, this->readiness, this->metrics);
    this->metrics.addRefreshCallback([this](Metrics &into) { this->refreshMetrics(into); });
    addOperatorRoutes(this->server, this->operatorRoutes());
    this->announcements = std::make_unique<AnnouncementListener>(
        this->server, this->controller, this->timers, announcementOptions(this->settings));
    const KeyCheck keyCheck = [this](std::string_view bearer) -> Result<CallerIdentity> {
        const Result<KeyRecord> key = this->follower->identify(std::string(bearer));
        if (!key)
            return key.error();
        return CallerIdentity{key.value().id, key.value().team};
    };
    CallerServiceOptions options;
    options.entry = this->settings.instance;
    options.controllerTimeout = Milliseconds(this->settings.callTimeoutMs);
    options.maxOpenPerKey = static_cast<std::size_t>(this->settings.maxOpenRequestsPerKey);
    this->callers = std::make_unique<CallerService>(
        CallerService::Dependencies{this->server, this->controller, this->dispatcher, this->targets,
                                    this->timers},
        keyCheck, options);
}

OperatorRoutesOptions Daemon::operatorRoutes()
{
    OperatorRoutesOptions options;
    options.client = &this->controller;
    options.identify = [this](const std::string &token) {
        return identifyOperator(token, this->clusterSecret, [this](const std::string &presented) {
            return this->follower->identify(presented);
        });
    };
    options.form = [this](const FormGroupRequest &request, Instant,
                          const Done<ReplicaStatus> &done) {
        if (!this->replica) {
            done(
                failure(ErrorCode::InvalidArgument,
                        "this instance has no replica; send the request to a member of the group"));
            return;
        }
        this->replica->log().form(request.members, [this, done](const Result<Nothing> &formed) {
            if (formed)
                done(this->replica->log().status());
            else
                done(formed.error());
        });
    };
    options.ownStatus = [this] {
        return this->replica ? this->replica->log().status() : ReplicaStatus();
    };
    return options;
}

void Daemon::refreshMetrics(Metrics &into)
{
    refreshProcessMetrics(into);
    into.set(Metric::ConfigurationVersion, static_cast<double>(this->follower->version()));
    into.set(Metric::Ready, this->readiness.isReady() ? 1.0 : 0.0);
    into.set(Metric::RequestsOpen, static_cast<double>(this->server.inFlight()));
    exportLogMetrics(into);
    exportMessengerMetrics(this->messenger.counters(), into);
    const CallerCounters counters = this->callers->counters();
    const std::pair<const char *, std::size_t> outcomes[] = {
        {"accepted", counters.accepted}, {"joined", counters.joined},
        {"answered", counters.answered}, {"refused", counters.refused},
        {"failed", counters.failed},     {"unknown", counters.unknown}};
    for (const auto &[outcome, requests] : outcomes)
        into.raiseCounterTo(Metric::RequestsTotal, static_cast<double>(requests), {outcome});
    if (this->replica)
        this->refreshReplicaMetrics(into);
}

void Daemon::refreshReplicaMetrics(Metrics &into)
{
    exportReplicaMetrics(this->replica->log().status(), into);
    const std::lock_guard<std::mutex> lock(this->controllerMetricsMutex);
    this->controllerMetrics.refresh(*this->replica, into);
}

} // namespace guavavalve
