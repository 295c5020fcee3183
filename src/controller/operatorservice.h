#pragma once

#include "controller/operatorclient.h"
#include "controller/operatorhooks.h"

namespace guavavalve {

class ClusterState;

/// Handles operators' requests on the instance that runs the controller. Thread safe.
///
/// Every request is checked against the key's record in the replicated state and not against the
/// identity that the entry sent, because the entry's copy of the configuration may be outdated.
class OperatorService : public OperatorClient
{
public:
    /// Key identity of a holder of the cluster's own secret, who can form the replica group and
    /// grant the first operator's key when no key exists yet.
    static constexpr const char *clusterKeyId = "cluster-secret";

    explicit OperatorService(OperatorHooks hooks);

    /// Leaves \a deadline to the caller: a request completes when its command does.
    void operate(OperatorRequest request, Instant deadline, Done<OperatorReply> done) override;

private:
    using Reply = Done<OperatorReply>;

    Result<OperatorIdentity> verify(const OperatorIdentity &claimed) const;
    Result<void> permit(const OperatorIdentity &identity, const OperatorRequestBody &body) const;

    void handle(const OperatorIdentity &, const ShowConfigurationRequest &, const Reply &);
    void handle(const OperatorIdentity &, const CheckConfigurationRequest &, const Reply &);
    void handle(const OperatorIdentity &, const WriteSectionRequest &, const Reply &);
    void handle(const OperatorIdentity &, const SectionHistoryRequest &, const Reply &);
    void handle(const OperatorIdentity &, const ConfigurationInForceRequest &, const Reply &);
    void handle(const OperatorIdentity &, const GrantKeyRequest &, const Reply &);
    void handle(const OperatorIdentity &, const ListKeysRequest &, const Reply &);
    void handle(const OperatorIdentity &, const WithdrawKeyRequest &, const Reply &);
    void handle(const OperatorIdentity &, const ListTargetsRequest &, const Reply &);
    void handle(const OperatorIdentity &, const DrainTargetRequest &, const Reply &);
    void handle(const OperatorIdentity &, const ListDomainsRequest &, const Reply &);
    void handle(const OperatorIdentity &, const EvacuateDomainRequest &, const Reply &);
    void handle(const OperatorIdentity &, const ReplicaStatusRequest &, const Reply &);
    void handle(const OperatorIdentity &, const AddReplicaRequest &, const Reply &);
    void handle(const OperatorIdentity &, const RemoveReplicaRequest &, const Reply &);
    void handle(const OperatorIdentity &, const ListJobsRequest &, const Reply &);
    void handle(const OperatorIdentity &, const ExplainJobRequest &, const Reply &);
    void handle(const OperatorIdentity &, const ListTeamsRequest &, const Reply &);
    void handle(const OperatorIdentity &, const CellStatusRequest &, const Reply &);

    void read(const OperatorHooks::StateReader &reader) const { this->hooks.readState(reader); }
    ConfigurationInForce inForce() const;
    TargetList targetList() const;
    DomainList domainList() const;
    TeamList teamList() const;
    std::vector<WaitingSummary> waitingList() const;
    Done<Nothing> replyWithStatus(const Reply &reply) const;

    OperatorHooks hooks;
};

} // namespace guavavalve
