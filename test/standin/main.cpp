#include "runtime/timerqueue.h"
#include "standin/standintarget.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, name, "target", "identity of the target, stable across restarts");
ABSL_FLAG(std::string, address, "127.0.0.1", "IP to listen on");
ABSL_FLAG(uint16_t, port, 0, "port to listen on; 0: any free port");
ABSL_FLAG(std::string, announced_address, "",
          "ip:port to announce; empty: the address it listens on");
ABSL_FLAG(std::vector<std::string>, entries, {},
          "comma-separated entries (ip:port) to announce to");
ABSL_FLAG(std::string, failure_domain, "domain-a", "failure domain");
ABSL_FLAG(std::string, rack, "rack-1", "rack");
ABSL_FLAG(int64_t, milli_cores, 16000, "processors, in thousandths of a core");
ABSL_FLAG(int64_t, memory_mb, 32768, "memory in MB");
ABSL_FLAG(int64_t, accelerators, 0, "accelerators");
ABSL_FLAG(int64_t, slots, 8, "concurrent tasks");
ABSL_FLAG(int64_t, connections, 64, "concurrent connections");
ABSL_FLAG(int, run_ms, 0, "run time of a task, unless its payload says runMs=N");
ABSL_FLAG(uint64_t, answer_bytes, 0,
          "minimum length of an answer, unless the payload says answerBytes=N");
ABSL_FLAG(int, announce_ms, 300, "interval between announcements");
ABSL_FLAG(std::string, ledger, "", "file to which each actual start is appended");

namespace {

standin::StandInOptions optionsFromFlags()
{
    standin::StandInOptions options;
    options.name = absl::GetFlag(FLAGS_name);
    options.address = absl::GetFlag(FLAGS_address);
    options.port = absl::GetFlag(FLAGS_port);
    options.announcedAddress = absl::GetFlag(FLAGS_announced_address);
    options.entries = absl::GetFlag(FLAGS_entries);
    options.failureDomain = absl::GetFlag(FLAGS_failure_domain);
    options.rack = absl::GetFlag(FLAGS_rack);
    options.total = {{absl::GetFlag(FLAGS_milli_cores), absl::GetFlag(FLAGS_memory_mb),
                      absl::GetFlag(FLAGS_accelerators), absl::GetFlag(FLAGS_slots),
                      absl::GetFlag(FLAGS_connections)}};
    options.runMs = absl::GetFlag(FLAGS_run_ms);
    options.answerBytes = absl::GetFlag(FLAGS_answer_bytes);
    options.announceMs = absl::GetFlag(FLAGS_announce_ms);
    options.ledgerPath = absl::GetFlag(FLAGS_ledger);
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    // Blocked before any thread starts: threads inherit the mask, which leaves the signals to
    // sigwait().
    sigset_t ending;
    sigemptyset(&ending);
    sigaddset(&ending, SIGTERM);
    sigaddset(&ending, SIGINT);
    pthread_sigmask(SIG_BLOCK, &ending, nullptr);

    guavavalve::TimerQueue timers;
    standin::StandInTarget target(timers, optionsFromFlags());
    if (const auto started = target.start(); !started) {
        std::cerr << started.error().message << '\n';
        return 1;
    }
    std::cout << "listening " << target.address() << std::endl;
    int signal = 0;
    sigwait(&ending, &signal);
    return 0;
}
