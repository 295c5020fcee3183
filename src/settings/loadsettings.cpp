#include "settings/loadsettings.h"

#include "settings/daemonsettingstable.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <vector>

namespace guavavalve {
namespace internal {

namespace {

constexpr std::size_t maxSettingsBytes = std::size_t{256} * 1024;

/// Conflicts between settings that are each in range.
std::vector<Problem> checkCombinations(const DaemonSettings &settings)
{
    std::vector<Problem> problems;
    // With fewer than three heartbeats per timeout, a single lost one deposes a healthy leader.
    if (settings.heartbeatMs * 3 > settings.electionTimeoutMs)
        problems.push_back({"replication.heartbeatMs", std::to_string(settings.heartbeatMs),
                            "at most a third of replication.electionTimeoutMs, "
                                + std::to_string(settings.electionTimeoutMs)});
    if (settings.replicas.empty() && !settings.holdsReplica())
        problems.push_back({"cluster.replicas", "nothing",
                            "at least one address, since this instance holds no replica itself"});
    return problems;
}

void fillAdvertised(DaemonSettings &settings)
{
    if (settings.callersAdvertise.empty())
        settings.callersAdvertise = settings.callersListen;
    if (settings.messengerAdvertise.empty())
        settings.messengerAdvertise = settings.messengerListen;
}

} // namespace

} // namespace internal

Result<DaemonSettings> parseSettings(const std::string &text)
{
    JsonDocument document = parseJson(text, internal::maxSettingsBytes);
    std::vector<Problem> problems = std::move(document.problems);
    DaemonSettings settings;
    if (document.isComplete && document.value.is_object()) {
        for (Problem &problem : daemonSettingsTable().read(document.value, settings))
            problems.push_back(std::move(problem));
    }
    if (problems.empty())
        problems = internal::checkCombinations(settings);
    if (!problems.empty())
        return failure(ErrorCode::InvalidArgument, problemsText("the settings", problems));
    internal::fillAdvertised(settings);
    return settings;
}

Result<DaemonSettings> loadSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return failure(ErrorCode::NotFound,
                       "the settings file " + path + " cannot be read: " + std::strerror(errno));
    std::string text(internal::maxSettingsBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    auto settings = parseSettings(text);
    if (settings.has_error()) {
        Error error = settings.error();
        error.message = path + ": " + error.message;
        return error;
    }
    return settings;
}

} // namespace guavavalve
