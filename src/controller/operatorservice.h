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
    Result<void> permit(const OperatorIdentity &identity, const OperatorQuestion &question) const;

    void answer(const OperatorIdentity &, const ShowConfigurationRequest &, Reply);
    void answer(const OperatorIdentity &, const CheckConfigurationRequest &, Reply);
    void answer(const OperatorIdentity &, const WriteSectionRequest &, Reply);
    void answer(const OperatorIdentity &, const SectionHistoryRequest &, Reply);
    void answer(const OperatorIdentity &, const InForceRequest &, Reply);
    void answer(const OperatorIdentity &, const GrantKeyRequest &, Reply);
    void answer(const OperatorIdentity &, const ListKeysRequest &, Reply);
    void answer(const OperatorIdentity &, const WithdrawKeyRequest &, Reply);
    void answer(const OperatorIdentity &, const ListTargetsRequest &, Reply);
    void answer(const OperatorIdentity &, const DrainTargetRequest &, Reply);
    void answer(const OperatorIdentity &, const ReplicaStatusRequest &, Reply);
    void answer(const OperatorIdentity &, const AddReplicaRequest &, Reply);
    void answer(const OperatorIdentity &, const RemoveReplicaRequest &, Reply);
    void answer(const OperatorIdentity &, const ListJobsRequest &, Reply);
    void answer(const OperatorIdentity &, const ExplainJobRequest &, Reply);
    void answer(const OperatorIdentity &, const ListTeamsRequest &, Reply);
    void answer(const OperatorIdentity &, const CellStatusRequest &, Reply);

    void read(const OperatorHooks::StateReader &reader) const { this->hooks.readState(reader); }
    ConfigurationInForce inForce() const;
    TargetList targetList() const;
    TeamList teamList() const;
    std::vector<WaitingSummary> waitingList() const;
    Done<Nothing> replyWithStatus(Reply reply) const;

    OperatorHooks hooks;
};

} // namespace guavavalve
