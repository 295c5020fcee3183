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

/// Everything that an operator may ask of the controller. The order is part of the wire format.
using OperatorRequestBody =
    std::variant<ShowConfigurationRequest, CheckConfigurationRequest, WriteSectionRequest,
                 SectionHistoryRequest, ConfigurationInForceRequest, GrantKeyRequest,
                 ListKeysRequest, WithdrawKeyRequest, ListTargetsRequest, DrainTargetRequest,
                 ReplicaStatusRequest, AddReplicaRequest, RemoveReplicaRequest, ListJobsRequest,
                 ExplainJobRequest, ListTeamsRequest, CellStatusRequest, ListDomainsRequest,
                 EvacuateDomainRequest>;

/// The answer: always the question's Reply.
using OperatorReply = std::variant<ConfigurationDocument, ConfigurationCheck, SectionWritten,
                                   SectionHistory, ConfigurationInForce, KeyGranted, KeyList,
                                   KeySummary, TargetList, TargetSummary, ReplicaStatus, JobList,
                                   JobExplanation, TeamList, CellStatus, DomainList, DomainSummary>;

/// A question and who asks it: the payload of Method::Operate.
struct OperatorRequest
{
    OperatorIdentity identity;
    OperatorRequestBody question;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->identity, this->question);
    }
};

} // namespace guavavalve
