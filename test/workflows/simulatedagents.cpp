#include "workflows/simulatedagents.h"

#include <utility>

namespace guavavalve::workflows {

namespace {

constexpr Milliseconds oneWay{1};

std::string nameOf(unsigned agent)
{
    return "agent-" + std::to_string(agent);
}

} // namespace

class SimulatedAgents::AgentMessenger : public Messenger
{
public:
    explicit AgentMessenger(SimulatedAgents &all)
        : all(all)
    {}
    void handle(Method method, Handler newHandler) override
    {
        if (method == Method::ForwardOrder)
            this->handler = std::move(newHandler);
    }
    void call(const std::string &address, Method, std::string payload, Instant deadline,
              Done<std::string> done) override
    {
        this->all.deliver(address, payload, deadline, done);
    }

    Handler handler;

private:
    SimulatedAgents &all;
};

SimulatedAgents::SimulatedAgents(VirtualLoop &loop, TargetPort &fleet, unsigned count)
    : loop(loop)
    , fleet(fleet)
    , own(std::make_unique<AgentMessenger>(*this))
{
    const auto post = [this](std::function<void()> action) { this->loop.post(std::move(action)); };
    for (unsigned i = 1; i <= count; ++i) {
        Agent &agent = this->agents[nameOf(i)];
        agent.messenger = std::make_unique<AgentMessenger>(*this);
        agent.service = std::make_unique<TargetAgentService>(this->fleet, post,
                                                             [this] { return this->loop.now(); });
        agent.service->serve(*agent.messenger);
    }
}

SimulatedAgents::~SimulatedAgents() = default;

std::unique_ptr<TargetAgents> SimulatedAgents::portOf(std::size_t targetsPerAgent)
{
    TargetAgentsOptions options;
    options.self = "controller";
    options.targetsPerAgent = targetsPerAgent;
    options.agents = [this] { return this->present(); };
    options.post = [this](std::function<void()> action) { this->loop.post(std::move(action)); };
    options.clock = [this] { return this->loop.now(); };
    return std::make_unique<TargetAgents>(options, this->fleet, *this->own);
}

void SimulatedAgents::kill(unsigned agent)
{
    this->agents.at(nameOf(agent)).isUp = false;
    this->agents.at(nameOf(agent)).waiting.clear();
}

void SimulatedAgents::freeze(unsigned agent)
{
    this->agents.at(nameOf(agent)).isFrozen = true;
}

void SimulatedAgents::wake(unsigned agent)
{
    Agent &woken = this->agents.at(nameOf(agent));
    woken.isUp = true;
    woken.isFrozen = false;
    for (const auto &carry : std::exchange(woken.waiting, {}))
        carry();
}

std::vector<InstanceId> SimulatedAgents::present() const
{
    std::vector<InstanceId> found;
    for (const auto &[name, agent] : this->agents) {
        if (agent.isUp)
            found.push_back(name); // a frozen one still counts: its last report is recent
    }
    return found;
}

void SimulatedAgents::deliver(const std::string &address, const std::string &payload,
                              Instant deadline, const Done<std::string> &done)
{
    auto answered = std::make_shared<bool>(false);
    const Done<std::string> once = [answered, done](Result<std::string> reply) {
        if (!std::exchange(*answered, true))
            done(std::move(reply));
    };
    this->loop.runAfter(deadline - this->loop.now(), [once] {
        Error error = failure(ErrorCode::DeadlineExceeded, "no reply");
        error.ran = Ran::Unknown;
        once(error);
    });
    const auto carry = [this, address, payload, once] {
        ++this->carried;
        const auto reply = [this, once](const Result<std::string> &answer) {
            this->loop.runAfter(oneWay, [once, answer] { once(answer); });
        };
        this->agents.at(address).messenger->handler("controller", payload, reply);
    };
    this->loop.runAfter(oneWay, [this, address, carry, once] {
        Agent &agent = this->agents.at(address);
        if (!agent.isUp)
            once(failure(ErrorCode::Unavailable, "connection refused"));
        else if (agent.isFrozen)
            agent.waiting.push_back(carry);
        else
            carry();
    });
}

} // namespace guavavalve::workflows
