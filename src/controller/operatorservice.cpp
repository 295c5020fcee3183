#include "controller/operatorservice.h"

#include "controller/operatorpermissions.h"
#include "replicas/replicatedlog.h"
#include "state/clusterstate.h"
#include "state/keysecret.h"

#include <algorithm>
#include <utility>

namespace guavavalve {

namespace {

Error notFound(const std::string &what, const std::string &name)
{
    return failure(ErrorCode::NotFound, "there is no " + what + " \"" + name + "\"");
}

ConfigurationSection toConfigurationSection(const Section &section, const SectionVersion &version)
{
    ConfigurationSection result;
    result.name = section.name;
    result.owner = section.owner;
    result.version = version.version;
    result.content = version.content;
    result.writtenBy = version.author;
    return result;
}

KeySummary summarize(const KeyRecord &key)
{
    return {key.id, key.team, key.role == KeyRole::Operator, key.label, key.withdrawn};
}

/// Checks the request ID by which a resend of a command is recognised.
Result<void> checkRequestId(const std::string &requestId)
{
    constexpr std::size_t maxRequestIdBytes = 128;
    if (requestId.empty() || requestId.size() > maxRequestIdBytes)
        return failure(ErrorCode::InvalidArgument,
                       "give the request an ID of 1 to 128 bytes, which identifies "
                       "resends after a lost reply");
    return boost::outcome_v2::success();
}

/// The token of the key that a grant creates, which is the same for a resend.
Result<KeyToken> tokenFor(const GrantKeyRequest &request, const std::string &clusterSecret)
{
    constexpr std::size_t idDigits = 16;
    const auto idHash = hashSecret({"grant-id", request.requestId}, clusterSecret);
    if (!idHash)
        return idHash.error();
    KeyToken token;
    token.keyId = "key-" + idHash.value().substr(0, idDigits);
    const auto secret = hashSecret({token.keyId, "grant " + request.requestId}, clusterSecret);
    if (!secret)
        return secret.error();
    token.secret = secret.value();
    return token;
}

} // namespace

OperatorService::OperatorService(OperatorHooks serviceHooks)
    : hooks(std::move(serviceHooks))
{}

void OperatorService::operate(OperatorRequest request, Instant, Done<OperatorReply> done)
{
    // A partitioned controller would answer from an outdated state, for example show a withdrawn
    // key as valid or a drained target as ready. While it holds the leader lease, no other replica
    // can have committed anything.
    if (!this->hooks.log->holdsLeaderLease()) {
        done(failure(ErrorCode::NotLeader, "this replica currently does not lead"));
        return;
    }
    const Result<OperatorIdentity> identity = this->verify(request.identity);
    if (!identity) {
        done(identity.error());
        return;
    }
    if (const auto permitted = this->permit(identity.value(), request.body); !permitted) {
        done(permitted.error());
        return;
    }
    std::visit(
        [this, &identity, &done](const auto &body) { this->handle(identity.value(), body, done); },
        request.body);
}

Result<OperatorIdentity> OperatorService::verify(const OperatorIdentity &claimed) const
{
    if (claimed.keyId == clusterKeyId)
        return OperatorIdentity{clusterKeyId, "", true};
    Result<OperatorIdentity> result =
        failure(ErrorCode::Unauthenticated, "the key is unknown or has been withdrawn");
    this->read([&](const ClusterState &state) {
        const KeyRecord *key = state.configuration().key(claimed.keyId);
        if (key != nullptr && !key->withdrawn)
            result = OperatorIdentity{key->id, key->team, key->role == KeyRole::Operator};
    });
    return result;
}

Result<void> OperatorService::permit(const OperatorIdentity &identity,
                                     const OperatorRequestBody &body) const
{
    std::string owner;
    if (const auto *write = std::get_if<WriteSectionRequest>(&body)) {
        this->read([&](const ClusterState &state) {
            const Section *section = state.configuration().section(write->draft.name);
            owner = section != nullptr ? section->owner : ownerOfNewSection(write->draft.name);
        });
    }
    return checkPermission(identity, body, owner);
}

void OperatorService::handle(const OperatorIdentity &, const ShowConfigurationRequest &request,
                             const Reply &reply)
{
    ConfigurationDocument document;
    this->read([&](const ClusterState &state) {
        document.version = state.configuration().version();
        for (const auto &[name, section] : state.configuration().sections()) {
            if (request.section.empty() || request.section == name)
                document.sections.push_back(toConfigurationSection(section, section.current()));
        }
    });
    if (document.sections.empty() && !request.section.empty())
        reply(notFound("section", request.section));
    else
        reply(OperatorReply(std::move(document)));
}

void OperatorService::handle(const OperatorIdentity &identity,
                             const CheckConfigurationRequest &request, const Reply &reply)
{
    ConfigurationCheck check;
    this->read([&](const ClusterState &state) {
        // Each draft is checked on top of the ones before it, in the order in which they would be
        // written.
        Configuration document = state.configuration();
        for (const SectionDraft &draft : request.drafts) {
            WriteSection write;
            write.section = draft.name;
            write.content = draft.content;
            write.author = identity.keyId;
            const Section *section = document.section(draft.name);
            write.baseVersion = section != nullptr ? section->current().version : 0;
            const SectionPreview preview = document.preview(write);
            for (const std::string &problem : preview.problems)
                check.problems.push_back({draft.name, problem});
            for (const FieldChange &change : preview.changes)
                check.differences.push_back(
                    {draft.name + "." + change.path, change.before, change.after});
            if (preview.problems.empty())
                (void)document.write(write);
        }
    });
    reply(OperatorReply(std::move(check)));
}

void OperatorService::handle(const OperatorIdentity &identity, const WriteSectionRequest &request,
                             const Reply &reply)
{
    if (const auto valid = checkRequestId(request.requestId); !valid) {
        reply(valid.error());
        return;
    }
    WriteSection command;
    command.requestId = request.requestId;
    command.section = request.draft.name;
    command.baseVersion = request.baseVersion;
    command.author = identity.keyId;
    command.content = request.draft.content;
    command.writtenAt = this->hooks.cellTimeMs();
    this->hooks.propose(std::move(command), [reply](Result<CommandValue> outcome) {
        if (!outcome) {
            reply(outcome.error());
            return;
        }
        SectionWritten written;
        if (const auto *changed = std::get_if<ConfigurationChanged>(&outcome.value())) {
            written.version = changed->sectionVersion;
            written.documentVersion = changed->documentVersion;
        }
        reply(OperatorReply(written));
    });
}

void OperatorService::handle(const OperatorIdentity &, const SectionHistoryRequest &request,
                             const Reply &reply)
{
    SectionHistory history;
    this->read([&](const ClusterState &state) {
        const Section *section = state.configuration().section(request.section);
        if (section == nullptr)
            return;
        for (const SectionVersion &version : section->history)
            history.versions.push_back(toConfigurationSection(*section, version));
    });
    std::reverse(history.versions.begin(), history.versions.end());
    if (history.versions.empty())
        reply(notFound("section", request.section));
    else
        reply(OperatorReply(std::move(history)));
}

ConfigurationInForce OperatorService::inForce() const
{
    ConfigurationInForce result;
    this->read(
        [&](const ClusterState &state) { result.version = state.configuration().version(); });
    result.instances = this->hooks.instances();
    result.everywhere = std::all_of(result.instances.begin(), result.instances.end(),
                                    [&](const InstanceConfiguration &one) {
                                        return one.version >= result.version || !one.leased;
                                    });
    return result;
}

void OperatorService::handle(const OperatorIdentity &, const ConfigurationInForceRequest &,
                             const Reply &reply)
{
    reply(OperatorReply(this->inForce()));
}

void OperatorService::handle(const OperatorIdentity &, const GrantKeyRequest &request,
                             const Reply &reply)
{
    if (const auto valid = checkRequestId(request.requestId); !valid) {
        reply(valid.error());
        return;
    }
    // The token is derived from the request ID and not random, so that a resend after a
    // lost reply returns the same token although the secret is not stored anywhere.
    const Result<KeyToken> token = tokenFor(request, this->hooks.clusterSecret);
    if (!token) {
        reply(token.error());
        return;
    }
    const auto keyedHash = hashSecret(token.value(), this->hooks.clusterSecret);
    if (!keyedHash) {
        reply(keyedHash.error());
        return;
    }
    GrantKey command;
    command.requestId = request.requestId;
    command.keyId = token.value().keyId;
    command.team = request.team;
    command.role = request.isOperator ? KeyRole::Operator : KeyRole::Team;
    command.keyedHash = keyedHash.value();
    command.label = request.label;
    const KeyGranted granted{token.value().keyId, token.value().keyId + ":" + token.value().secret};
    this->hooks.propose(std::move(command), [reply, granted](Result<CommandValue> outcome) {
        if (!outcome)
            reply(outcome.error());
        else
            reply(OperatorReply(granted));
    });
}

void OperatorService::handle(const OperatorIdentity &identity, const ListKeysRequest &,
                             const Reply &reply)
{
    KeyList list;
    this->read([&](const ClusterState &state) {
        for (const auto &[id, key] : state.configuration().keys()) {
            if (identity.isOperator || key.team == identity.team)
                list.keys.push_back(summarize(key));
        }
    });
    reply(OperatorReply(std::move(list)));
}

void OperatorService::handle(const OperatorIdentity &, const WithdrawKeyRequest &request,
                             const Reply &reply)
{
    if (const auto valid = checkRequestId(request.requestId); !valid) {
        reply(valid.error());
        return;
    }
    WithdrawKey command;
    command.requestId = request.requestId;
    command.keyId = request.keyId;
    this->hooks.propose(std::move(command),
                        [this, reply, id = request.keyId](Result<CommandValue> outcome) {
                            if (!outcome) {
                                reply(outcome.error());
                                return;
                            }
                            KeySummary summary;
                            this->read([&](const ClusterState &state) {
                                if (const KeyRecord *key = state.configuration().key(id))
                                    summary = summarize(*key);
                            });
                            summary.keyId = id;
                            summary.withdrawn = true;
                            reply(OperatorReply(summary));
                        });
}

Done<Nothing> OperatorService::replyWithStatus(const Reply &reply) const
{
    return [log = this->hooks.log, reply](Result<Nothing> outcome) {
        if (!outcome)
            reply(outcome.error());
        else
            reply(OperatorReply(log->status()));
    };
}

void OperatorService::handle(const OperatorIdentity &, const ReplicaStatusRequest &,
                             const Reply &reply)
{
    reply(OperatorReply(this->hooks.log->status()));
}

void OperatorService::handle(const OperatorIdentity &, const AddReplicaRequest &request,
                             const Reply &reply)
{
    this->hooks.log->addMember(request.member, this->replyWithStatus(reply));
}

void OperatorService::handle(const OperatorIdentity &, const RemoveReplicaRequest &request,
                             const Reply &reply)
{
    this->hooks.log->removeMember(request.instance, this->replyWithStatus(reply));
}

} // namespace guavavalve
