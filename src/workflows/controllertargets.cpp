#include "workflows/controller.h"

#include "workflows/decisionlog.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve::workflows {

namespace {

/// Of a task whose queue is gone: nobody may call it failed.
constexpr std::uint16_t neverFailed = 1000;
/// Targets that a new controller asks at once, and then for each pause: 2,000 a second.
constexpr std::size_t askedAtOnce = 400;
constexpr std::size_t askedPerPause = 20;
constexpr Milliseconds askPause{10};

} // namespace

/// Those with runs come first: their leases run out.
///
/// Guards against a controller of thousands of targets that asks all of them at once: the replicas
/// had no processor time left for the log, elected another, and that one did the same.
void Controller::openAll()
{
    const LifeTable known = this->machine.read([](const Book &book) { return book.lives(); });
    for (const auto &[life, record] : known) {
        this->openSession(life, record);
        if (!record.placed.empty())
            this->unbegun.push_back(life);
    }
    for (const auto &[life, record] : known) {
        if (record.placed.empty())
            this->unbegun.push_back(life);
    }
    this->beginSome(askedAtOnce);
}

void Controller::beginSome(std::size_t most)
{
    for (std::size_t i = 0; i < most && !this->unbegun.empty(); ++i) {
        const auto found = this->lives.find(this->unbegun.front());
        this->unbegun.pop_front();
        if (found != this->lives.end())
            found->second.session->begin();
    }
    if (this->unbegun.empty())
        return;
    this->options.runAfter(askPause, [this, alive = this->alive, inTerm = this->term] {
        if (*alive && this->leads && this->term == inTerm)
            this->beginSome(askedPerPause);
    });
}

TargetSession &Controller::openSession(LifeNumber life, const LifeRecord &record)
{
    TargetSession::Hooks hooks;
    hooks.runsOver = [this, life](std::vector<RunEnd> ends) {
        this->runsOver(life, std::move(ends));
    };
    hooks.listed = [this, life](const std::vector<RunningTask> &running) {
        this->runsListed(life, running);
    };
    hooks.usableChanged = [this] {
        this->needsPlan = true;
        this->flush();
    };
    hooks.lifeOver = [this, life] { this->lifeOver(life, LifeEnd::Replaced); };
    hooks.runAfter = this->options.runAfter;
    hooks.isCurrent = [this] { return this->isCurrent(); };
    hooks.ownLag = [this] { return this->lag; };
    auto session =
        std::make_shared<TargetSession>(life, record.identity, this->term, this->options.session,
                                        this->targets, std::move(hooks), this->options.clock);
    this->machine.read([&](const Book &book) {
        for (const TaskAddress &task : record.placed) {
            const Workflow *workflow = book.find(task.step.workflow);
            const TaskProgress *progress = workflow == nullptr ? nullptr : workflow->task(task);
            if (progress == nullptr)
                continue;
            session->adopt(task, progress->run);
        }
    });
    this->lives[life].session = session;
    session->heard(!record.isDraining);
    session->setEvacuated(this->machine.read([&](const Book &book) {
        return book.evacuatedDomains().count(record.identity.failureDomain) != 0;
    }));
    for (const TaskAddress &task : record.placed) {
        const bool isOver = this->machine.read([&](const Book &book) {
            const Workflow *workflow = book.find(task.step.workflow);
            return workflow == nullptr || workflow->isOver();
        });
        if (isOver)
            session->stop(task);
    }
    return *session;
}

void Controller::runsOver(LifeNumber life, std::vector<RunEnd> ends)
{
    this->machine.read([&](const Book &book) {
        for (RunEnd &end : ends) {
            const QueuePolicy *queue = this->queueOf(end.task.step.workflow, book);
            end.maxFailures = queue == nullptr ? neverFailed : queue->maxFailures;
        }
    });
    logRunsEnded(life, ends);
    std::vector<WorkflowId> touched;
    touched.reserve(ends.size());
    const Instant now = this->options.clock();
    const TargetTrust before = this->health.trust(life, now);
    for (const RunEnd &end : ends) {
        touched.push_back(end.task.step.workflow);
        this->health.ended(life, end.task.step.workflow, end.outcome, now);
    }
    this->metrics.runsOver(ends);
    logTargetTrust(life, before, this->health.trust(life, now));
    const std::int64_t atMs = this->options.calendarMs();
    EndRuns command{std::move(ends), atMs};
    this->add(
        std::move(command),
        [this, life, atMs, touched = std::move(touched)](const Result<CommandOutcome> &outcome) {
            if (!outcome)
                return; // leadership is lost: the next controller learns of the ends by itself
            this->settle(touched, atMs);
            const auto found = this->lives.find(life);
            if (found != this->lives.end())
                found->second.session->committed();
        });
}

/// Counts workflows that a command of \a atMs has brought to their end, and stops what is left of
/// them.
void Controller::settle(const std::vector<WorkflowId> &touched, std::int64_t atMs)
{
    this->countOver(touched, atMs);
    for (const WorkflowId id : touched) {
        const bool isLeft = this->machine.read([&](const Book &book) {
            const Workflow *workflow = book.find(id);
            return workflow != nullptr && workflow->isOver() && workflow->placed > 0;
        });
        if (isLeft)
            this->stopPlaced(id);
    }
}

void Controller::lifeOver(LifeNumber life, LifeEnd how)
{
    const auto found = this->lives.find(life);
    if (found == this->lives.end())
        return;
    logTargetEnded(found->second.session->identity(), how);
    const std::shared_ptr<TargetSession> session = found->second.session;
    session->declareOver();
    this->noteCrash(life, how);
    this->forgetLife(life);
}

void Controller::forgetLife(LifeNumber life)
{
    this->add(ForgetLife{life}, [this, life](const Result<CommandOutcome> &outcome) {
        if (outcome && outcome.value() != CommandOutcome::Rejected)
            this->lives.erase(life);
        this->health.forget(life);
    });
}

void Controller::targetHeard(const TargetReport &report, const Done<Nothing> &done)
{
    if (!this->leads) {
        done(this->notLeading());
        return;
    }
    const LifeNumber newest =
        this->machine.read([&](const Book &book) { return book.newestLife(report.identity.name); });
    const auto known = this->lives.find(newest);
    const std::int64_t born =
        known == this->lives.end() ? -1 : known->second.session->identity().bornAtMs;
    if (born > report.identity.bornAtMs) {
        done(Nothing{}); // delayed, from an earlier life: it changes nothing
        return;
    }
    if (born == report.identity.bornAtMs) {
        if (report.sequence >= known->second.sequence) {
            known->second.sequence = report.sequence;
            known->second.session->heard(report.isReady, report.coldFor);
            this->takeReport(newest, report, done);
            return;
        }
        done(Nothing{});
        return;
    }
    if (born >= 0)
        this->lifeOver(newest, LifeEnd::Reborn);
    const std::string name = report.identity.name;
    this->add(BeginLife{report.identity},
              [this, name, report, done](const Result<CommandOutcome> &outcome) {
                  if (!outcome) {
                      done(outcome.error());
                      return;
                  }
                  LifeNumber life = LifeNumber::None;
                  LifeRecord record;
                  this->machine.read([&](const Book &book) {
                      life = book.newestLife(name);
                      if (const LifeRecord *found = book.find(life))
                          record = *found;
                  });
                  if (this->leads && life != LifeNumber::None && this->lives.count(life) == 0
                      && record.identity.bornAtMs == report.identity.bornAtMs) {
                      logTargetStarted(record.identity);
                      this->openSession(life, record).begin();
                      this->lives[life].sequence = report.sequence;
                      this->lives[life].session->heard(report.isReady, report.coldFor);
                      this->setDraining(life, !report.isReady, done);
                      return;
                  }
                  done(Nothing{});
              });
}

/// What it says that may change during a life. Acknowledged once it is stored.
void Controller::takeReport(LifeNumber life, const TargetReport &report, const Done<Nothing> &done)
{
    Resources before;
    this->machine.read([&](const Book &book) {
        const LifeRecord *record = book.find(life);
        before = record == nullptr ? report.identity.capacity : record->identity.capacity;
    });
    if (before == report.identity.capacity) {
        this->setDraining(life, !report.isReady, done);
        return;
    }
    const auto resized = [this, life, before, report, done](const Result<CommandOutcome> &outcome) {
        if (!outcome) {
            done(outcome.error());
            return;
        }
        if (outcome.value() == CommandOutcome::Applied)
            logTargetResized(report.identity, before);
        this->setDraining(life, !report.isReady, done);
    };
    this->add(ResizeLife{life, report.identity.capacity, report.sequence}, resized);
}

/// Acknowledged once it is stored: a controller that takes over a moment later must not start
/// anything there either.
void Controller::setDraining(LifeNumber life, bool isDraining, const Done<Nothing> &done)
{
    const bool isKnown = this->machine.read([&](const Book &book) {
        const LifeRecord *record = book.find(life);
        return record == nullptr || record->isDraining == isDraining;
    });
    if (isKnown) {
        done(Nothing{});
        return;
    }
    this->add(DrainLife{life, isDraining}, [done](const Result<CommandOutcome> &outcome) {
        if (outcome)
            done(Nothing{});
        else
            done(outcome.error());
    });
}

void Controller::targetLeft(const std::string &name, std::int64_t bornAtMs,
                            const Done<Nothing> &done)
{
    if (!this->leads) {
        done(this->notLeading());
        return;
    }
    const LifeNumber newest =
        this->machine.read([&](const Book &book) { return book.newestLife(name); });
    const auto known = this->lives.find(newest);
    const bool isThisLife = known != this->lives.end()
        && (bornAtMs == 0 || known->second.session->identity().bornAtMs == bornAtMs);
    if (isThisLife && !known->second.session->isOver()) {
        logTargetEnded(known->second.session->identity(), LifeEnd::Left);
        known->second.session->leave([this, newest] { this->forgetLife(newest); });
    }
    done(Nothing{});
}

/// A placement that was under way when its target's life was found to be over: no order for it
/// has been sent, and none will be.
void Controller::neverStarted(LifeNumber life, const TaskAddress &task, RunNumber run)
{
    RunEnd end;
    end.task = task;
    end.run = run;
    end.outcome = RunOutcome::NeverStarted;
    this->add(EndRuns{{end}, this->options.calendarMs()}, nullptr);
    this->forgetLife(life);
}

const QueuePolicy *Controller::queueOf(WorkflowId id, const Book &book) const
{
    const Workflow *workflow = book.find(id);
    return workflow == nullptr ? nullptr : this->inForce.queue(workflow->spec.queue);
}

} // namespace guavavalve::workflows
