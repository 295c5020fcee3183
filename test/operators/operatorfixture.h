#pragma once

#include "controller/clusterstatemachine.h"
#include "controller/operatorservice.h"
#include "decisions/scheduler.h"
#include "operators/operatoridentification.h"
#include "operators/operatorroutes.h"
#include "replicas/inmemorylog.h"
#include "runtime/httpserver.h"
#include "state/clusterstate.h"
#include "state/keyrecord.h"
#include "state/keysecret.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve {

/// The operators' service and routes over the state of one replica, without a scheduler or
/// targets.
class OperatorFixture
{
public:
    static constexpr const char *secret = "a cluster secret for tests";

    OperatorFixture()
        : log(machine)
        , service(hooks())
        , server(HttpServerOptions())
    {
        OperatorRoutesOptions options;
        options.client = &this->service;
        options.identify = [this](const std::string &token) { return this->identify(token); };
        options.form = [this](const FormGroupRequest &, Instant, const Done<ReplicaStatus> &done) {
            ++this->formed;
            done(this->log.status());
        };
        options.ownStatus = [this] { return this->log.status(); };
        addOperatorRoutes(this->server, std::move(options));
        REQUIRE(this->server.start());
    }
    ~OperatorFixture() { this->server.close(); }
    OperatorFixture(const OperatorFixture &) = delete;
    OperatorFixture &operator=(const OperatorFixture &) = delete;

    /// The reply to \a requestBody when \a who sends it.
    template<typename RequestBody>
    Result<typename RequestBody::Reply> ask(const OperatorIdentity &who, RequestBody requestBody)
    {
        std::optional<Result<typename RequestBody::Reply>> outcome;
        guavavalve::ask(this->service, who, std::move(requestBody), Instant::max(),
                        [&outcome](auto result) { outcome = std::move(result); });
        REQUIRE(outcome.has_value());
        return std::move(*outcome);
    }

    /// Applies a command without an operator identity.
    CommandValue apply(Command command)
    {
        std::optional<Result<CommandValue>> outcome;
        this->propose(std::move(command), [&outcome](auto result) { outcome = std::move(result); });
        REQUIRE(outcome.has_value());
        REQUIRE(outcome->has_value());
        return outcome->value();
    }

    std::optional<KeyRecord> key(const std::string &id) const
    {
        return this->machine.read([&id](const ClusterState &state) {
            const KeyRecord *record = state.configuration().key(id);
            return record != nullptr ? std::optional<KeyRecord>(*record) : std::nullopt;
        });
    }

    /// The identity that \a token proves to an entry that has the newest configuration.
    Result<OperatorIdentity> identify(const std::string &token) const
    {
        return identifyOperator(token, secret, [this](const std::string &presented) {
            return this->identifyKey(presented);
        });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->server.port()); }
    static std::string clusterToken() { return std::string("cluster-secret:") + secret; }
    static OperatorIdentity clusterSecretIdentity()
    {
        return {OperatorService::clusterKeyId, "", true};
    }

    /// Grants an operator key and stores its token in operatorToken.
    OperatorIdentity makeOperator()
    {
        const auto granted =
            this->ask(clusterSecretIdentity(), GrantKeyRequest{"", true, "", "make-operator"});
        REQUIRE(granted);
        this->operatorToken = granted.value().token;
        return {granted.value().keyId, "", true};
    }

    /// Grants a second operator key, since the last one cannot be withdrawn.
    void grantSpareOperator()
    {
        REQUIRE(this->ask(clusterSecretIdentity(), GrantKeyRequest{"", true, "", "spare"}));
    }

    ClusterStateMachine machine;
    InMemoryLog log;
    std::vector<InstanceConfiguration> instances;
    OperatorService service;
    HttpServer server;
    std::string operatorToken;
    int formed = 0;

private:
    Result<KeyRecord> identifyKey(const std::string &token) const
    {
        BOOST_OUTCOME_TRY(presented, parseToken(token));
        const std::optional<KeyRecord> record = this->key(presented.keyId);
        if (!record || record->withdrawn || !secretMatches(presented, secret, record->keyedHash))
            return failure(ErrorCode::Unauthenticated, "the key is unknown or has been withdrawn");
        return *record;
    }

    void propose(Command command, const Done<CommandValue> &done)
    {
        CommandBatch batch;
        batch.commands.push_back(std::move(command));
        const auto bytes = encodeBatch(batch);
        REQUIRE(bytes);
        this->log.propose(bytes.value(), [&done](Result<std::string> applied) {
            REQUIRE(applied);
            const auto outcomes = decodeOutcomes(applied.value());
            REQUIRE(outcomes);
            done(outcomes.value().front());
        });
    }

    OperatorHooks hooks()
    {
        OperatorHooks result;
        result.readState = [this](const OperatorHooks::StateReader &reader) {
            this->machine.read([&reader](const ClusterState &state) { reader(state); });
        };
        result.propose = [this](Command command, const Done<CommandValue> &done) {
            this->propose(std::move(command), done);
        };
        result.instances = [this] { return this->instances; };
        result.explain = [](TaskId) { return Explanation(); };
        result.statistics = [] { return Statistics(); };
        result.jobStatus = [](JobId) -> Result<JobStatus> {
            return failure(ErrorCode::NotFound, "no such job");
        };
        result.cellTimeMs = [] { return std::int64_t{1}; };
        result.clusterSecret = secret;
        result.log = &this->log;
        return result;
    }
};

} // namespace guavavalve
