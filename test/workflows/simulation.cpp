#include "workflows/simulation.h"

#include <utility>

namespace guavavalve::workflows {

namespace {

constexpr Milliseconds heartbeatInterval{1500};
constexpr Milliseconds retryDelay{100}; ///< before an operator repeats an unanswered request
constexpr Milliseconds restartDelay{3000}; ///< after a task has crashed its target

Policy simplePolicy()
{
    Policy policy;
    QueuePolicy queue;
    queue.service = "s";
    queue.maxFailures = 50; // high, so that random failures don't end workflows
    policy.queues["q"] = queue;
    return policy;
}

} // namespace

Simulation::Simulation(std::uint64_t seed, unsigned targets, std::int64_t milliCoresOfEach)
    : policy(simplePolicy())
    , fleet(this->loop, seed)
    , milliCores(milliCoresOfEach)
    , admissions(this->loop)
{
    this->fleet.targetCrashed = [this](const std::string &name) {
        this->loop.runAfter(restartDelay, [this, name] { this->restartCrashed(name); });
    };
    this->changeController(Milliseconds(0));
    this->controller().storeDocument(1, "policy", [](const Result<CommandOutcome> &) {});
    for (unsigned i = 1; i <= targets; ++i)
        this->restart("t" + std::to_string(i));
    this->runFor(Milliseconds(500));
}

Simulation::~Simulation() = default;

void Simulation::changeController(Milliseconds overlap)
{
    if (!this->terms.empty()) {
        ControllerTerm *before = this->terms.back().get();
        before->log.setLeading(false);
        this->loop.runAfter(overlap, [before] { before->controller->leadershipChanged(false, 0); });
    }
    auto newTerm = std::make_unique<ControllerTerm>(this->machine, this->loop, this->storeTime);
    ControllerOptions options;
    options.readPolicy = [this](const std::string &) -> Result<Policy> {
        if (!this->isPolicyReadable)
            return failure(ErrorCode::InvalidArgument, "unreadable");
        return this->policy;
    };
    options.post = [this](std::function<void()> action) { this->loop.post(std::move(action)); };
    options.runAfter = [this](Microseconds delay, std::function<void()> action) {
        this->loop.runAfter(delay, std::move(action));
    };
    options.calendarMs = [this] {
        return this->loop.nowMs() / this->calendarStepMs * this->calendarStepMs;
    };
    options.metrics = &this->metrics;
    options.mechanisms = this->mechanisms;
    options.session = this->session;
    options.clock = [this] { return this->loop.now(); };
    TargetPort &port = this->portOfController ? this->portOfController() : this->fleet;
    AdmissionPort &service = this->admissionsOfController == nullptr
        ? static_cast<AdmissionPort &>(this->admissions)
        : *this->admissionsOfController;
    newTerm->controller =
        std::make_unique<Controller>(options, newTerm->log, this->machine, port, service);
    newTerm->controller->leadershipChanged(true, ++this->term);
    this->terms.push_back(std::move(newTerm));
}

void Simulation::heartbeat(const std::string &name)
{
    if (this->unheard.count(name) != 0)
        return;
    TargetReport report;
    report.identity = this->identities.at(name);
    report.isReady = this->draining.count(name) == 0;
    report.sequence = ++this->sequence;
    this->controller().heartbeatReceived(report, [](const Result<Nothing> &) {});
}

void Simulation::drain(const std::string &name)
{
    this->draining.insert(name);
    this->heartbeat(name);
}

void Simulation::restart(const std::string &name)
{
    this->draining.erase(name);
    this->identities[name] = this->fleet.add(name, this->milliCores, Simulation::domainOf(name));
    this->heartbeat(name);
}

void Simulation::restartUnheard(const std::string &name)
{
    this->unheard.insert(name);
    this->restart(name);
}

void Simulation::announce(const std::string &name)
{
    this->unheard.erase(name);
    this->heartbeat(name);
}

void Simulation::resize(const std::string &name, std::int64_t milliCores)
{
    this->fleet.resize(name, milliCores);
    this->identities.at(name).capacity[ResourceKind::MilliCores] = milliCores;
    this->heartbeat(name);
}

void Simulation::replace(const std::string &name)
{
    const std::string successor = name + name.back(); // of the same failure domain
    this->fleet.replace(name, successor);
    this->identities.erase(name);
    this->restart(successor);
}

void Simulation::restartCrashed(const std::string &name)
{
    if (this->renamesRestarted)
        this->replace(name);
    else
        this->restart(name);
}

void Simulation::leave(const std::string &name)
{
    this->fleet.crash(name);
    this->announceEnd(name);
}

void Simulation::announceEnd(const std::string &name)
{
    this->controller().targetLeft(name, this->identities.at(name).startedAtMs,
                                  [](const Result<Nothing> &) {});
}

std::string Simulation::domainOf(const std::string &name)
{
    return (name.back() - '0') % 2 == 0 ? "d0" : "d1";
}

void Simulation::evacuate(const std::string &failureDomain, bool isEvacuated)
{
    this->controller().evacuate(
        failureDomain, isEvacuated, this->stamp(),
        [this, failureDomain, isEvacuated](const Result<CommandOutcome> &outcome) {
            if (!outcome)
                this->loop.runAfter(retryDelay, [this, failureDomain, isEvacuated] {
                    this->evacuate(failureDomain, isEvacuated);
                });
            else if (isEvacuated)
                this->fleet.evacuated(failureDomain);
            else
                this->fleet.reopened(failureDomain);
        });
}

void Simulation::submit(WorkflowId id, std::vector<StepSpec> steps, const std::string &queue,
                        const std::string &account)
{
    WorkflowSpec spec;
    spec.id = id;
    spec.queue = queue;
    spec.account = account;
    spec.payload = "work";
    spec.steps = std::move(steps);
    this->fleet.announce(spec);
    this->controller().submit(spec, [](const Result<CommandOutcome> &) {});
}

IntakeDecision Simulation::request(const WorkflowSpec &spec, const CallStamp &stamp)
{
    const IntakeDecision decision = this->controller().decideIntake(spec, stamp);
    if (decision.verdict == IntakeVerdict::Accept) {
        this->fleet.announce(spec);
        this->controller().submit(spec, [](const Result<CommandOutcome> &) {});
    }
    return decision;
}

void Simulation::runFor(Milliseconds span)
{
    while (span > Milliseconds(0)) {
        const Milliseconds part = std::min(span, heartbeatInterval);
        for (const auto &[name, identity] : this->identities) {
            if (this->fleet.isUp(name))
                this->heartbeat(name);
        }
        this->loop.runFor(part);
        span -= part;
    }
}

bool Simulation::isAccepted(WorkflowId id) const
{
    return this->machine.read(
        [id](const WorkflowStore &store) { return store.find(id) != nullptr; });
}

WorkflowState Simulation::stateOf(WorkflowId id) const
{
    return this->machine.read([id](const WorkflowStore &store) { return store.find(id)->state(); });
}

bool Simulation::isAllOver() const
{
    return this->machine.read([](const WorkflowStore &store) { return store.live().empty(); });
}

} // namespace guavavalve::workflows
