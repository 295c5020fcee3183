#pragma once

#include "controller/cellstatus.h"
#include "controller/configurationrequests.h"
#include "controller/jobrequests.h"
#include "controller/keyrequests.h"
#include "controller/operatoridentity.h"
#include "controller/replicarequests.h"
#include "controller/targetrequests.h"

#include <cereal/types/variant.hpp>

#include <variant>

namespace guavavalve {

/// Every request that an operator can make. The order is part of the wire format.
using OperatorRequestBody =
    std::variant<ShowConfigurationRequest, CheckConfigurationRequest, WriteSectionRequest,
                 SectionHistoryRequest, ConfigurationInForceRequest, GrantKeyRequest,
                 ListKeysRequest, WithdrawKeyRequest, ListTargetsRequest, DrainTargetRequest,
                 ReplicaStatusRequest, AddReplicaRequest, RemoveReplicaRequest, ListJobsRequest,
                 ExplainJobRequest, ListTeamsRequest, CellStatusRequest, ListDomainsRequest,
                 EvacuateDomainRequest>;

/// The reply to a request, always of the request's type Reply.
using OperatorReply = std::variant<ConfigurationDocument, ConfigurationCheck, SectionWritten,
                                   SectionHistory, ConfigurationInForce, KeyGranted, KeyList,
                                   KeySummary, TargetList, TargetSummary, ReplicaStatus, JobList,
                                   JobExplanation, TeamList, CellStatus, DomainList, DomainSummary>;

/// An operator's request and its sender: the payload of Method::Operate.
struct OperatorRequest
{
    OperatorIdentity identity;
    OperatorRequestBody body;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->identity, this->body);
    }
};

} // namespace guavavalve
