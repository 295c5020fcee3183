#include "daemon/daemon.h"
#include "runtime/httpthreads.h"
#include "runtime/logging.h"
#include "runtime/processsetup.h"
#include "runtime/signalwatcher.h"
#include "settings/daemonsettingstable.h"
#include "settings/loadsettings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <fstream>
#include <future>
#include <iterator>
#include <string>

ABSL_FLAG(std::string, settings, "", "path of the JSON settings file");
ABSL_FLAG(bool, help_settings, false, "print every setting with its type, range and default");

using namespace guavavalve;

namespace {

constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 3;
constexpr std::size_t minSecretBytes = 16;

int fail(int code, const std::string &message)
{
    std::fprintf(stderr, "guavavalved: %s\n", message.c_str());
    return code;
}

Result<std::string> readSecret(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string secret{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r'))
        secret.pop_back();
    if (secret.size() < minSecretBytes) {
        return failure(ErrorCode::InvalidArgument,
                       "the file named by cluster.secretFile cannot be read or holds fewer than "
                           + std::to_string(minSecretBytes) + " bytes");
    }
    return secret;
}

int serve(const DaemonSettings &settings, const std::string &secret)
{
    LogOptions logOptions;
    logOptions.level = settings.logLevel;
    logOptions.format = settings.logFormat;
    logOptions.file = settings.logFile;
    logOptions.queueLines = static_cast<std::size_t>(settings.logQueueLines);
    const Logging logging(logOptions);

    initializeHttpThreads(static_cast<std::size_t>(settings.workerThreads));
    std::promise<void> shutdownRequested;
    const SignalWatcher watcher([&shutdownRequested](int) { shutdownRequested.set_value(); });
    Daemon daemon(settings, secret);
    if (const Result<void> started = daemon.start(); !started)
        return fail(exitCannotStart, started.error().message);
    shutdownRequested.get_future().wait();
    daemon.shutDown();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    prepareProcess();
    absl::SetProgramUsageMessage("the guavavalve daemon; usage: guavavalved --settings=FILE");
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_help_settings)) {
        std::fputs(settingsHelp().c_str(), stdout);
        return 0;
    }
    if (absl::GetFlag(FLAGS_settings).empty())
        return fail(exitBadSettings, "no settings file given; use --settings=FILE");
    const auto settings = loadSettings(absl::GetFlag(FLAGS_settings));
    if (!settings)
        return fail(exitBadSettings, settings.error().message);
    const auto secret = readSecret(settings.value().clusterSecretFile);
    if (!secret)
        return fail(exitBadSettings, secret.error().message);
    return serve(settings.value(), secret.value());
}
