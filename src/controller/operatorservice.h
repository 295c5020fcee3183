#pragma once

#include "controller/operatorclient.h"
#include "controller/operatorhooks.h"

namespace guavavalve {

class ClusterState;

/// Answers operators' questions where the controller runs. Thread safe.
///
/// Every question is checked against the key's record in the replicated state, and not against
/// what the entry said of it: the entry's copy of the configuration may be older.
class OperatorService : public OperatorClient
{
public:
    /// Key identity of whoever holds the cluster's own secret: forms the group and grants the
    /// first operator's key, when there is none yet.
    static constexpr const char *clusterKeyId = "cluster-secret";

    explicit OperatorService(OperatorHooks hooks);

    /// \a deadline is the caller's to keep: every question ends with its command.
    void operate(OperatorRequest request, Instant deadline, Done<OperatorReply> done) override;

private:
    using Reply = Done<OperatorReply>;

    Result<OperatorIdentity> verify(const OperatorIdentity &claimed) const;
    Result<void> permit(const OperatorIdentity &identity,
                        const OperatorRequestBody &question) const;

    void answer(const OperatorIdentity &, const ShowConfigurationRequest &, const Reply &);
    void answer(const OperatorIdentity &, const CheckConfigurationRequest &, const Reply &);
    void answer(const OperatorIdentity &, const WriteSectionRequest &, const Reply &);
    void answer(const OperatorIdentity &, const SectionHistoryRequest &, const Reply &);
    void answer(const OperatorIdentity &, const ConfigurationInForceRequest &, const Reply &);
    void answer(const OperatorIdentity &, const GrantKeyRequest &, const Reply &);
    void answer(const OperatorIdentity &, const ListKeysRequest &, const Reply &);
    void answer(const OperatorIdentity &, const WithdrawKeyRequest &, const Reply &);
    void answer(const OperatorIdentity &, const ListTargetsRequest &, const Reply &);
    void answer(const OperatorIdentity &, const DrainTargetRequest &, const Reply &);
    void answer(const OperatorIdentity &, const ListDomainsRequest &, const Reply &);
    void answer(const OperatorIdentity &, const EvacuateDomainRequest &, const Reply &);
    void answer(const OperatorIdentity &, const ReplicaStatusRequest &, const Reply &);
    void answer(const OperatorIdentity &, const AddReplicaRequest &, const Reply &);
    void answer(const OperatorIdentity &, const RemoveReplicaRequest &, const Reply &);
    void answer(const OperatorIdentity &, const ListJobsRequest &, const Reply &);
    void answer(const OperatorIdentity &, const ExplainJobRequest &, const Reply &);
    void answer(const OperatorIdentity &, const ListTeamsRequest &, const Reply &);
    void answer(const OperatorIdentity &, const CellStatusRequest &, const Reply &);

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
