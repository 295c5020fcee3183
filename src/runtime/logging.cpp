#include "runtime/logging.h"

#include "runtime/outputsink.h"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>

#include <unistd.h>

#include <memory>

namespace guavavalve {

namespace {

spdlog::level::level_enum spdlogLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Information:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

nlohmann::json fieldsAsJson(std::string_view event, std::initializer_list<LogField> fields)
{
    nlohmann::json line{{"event", std::string(event)}};
    for (const auto &[key, value] : fields)
        line[std::string(key)] = value;
    return line;
}

std::string fieldsAsText(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line(event);
    for (const auto &[key, value] : fields) {
        line.append(" ").append(key).append("=");
        const bool plain = value.find_first_of(" \"\n\r\t") == std::string::npos;
        line += plain
            ? value
            : nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    return line;
}

/// The message holds the members of a JSON object without its braces; the pattern adds the braces,
/// the time and the level.
constexpr const char *jsonPattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%f%z","level":"%l",%v})";
constexpr const char *textPattern = "%Y-%m-%d %H:%M:%S.%e %l %v";

bool writesJson = false; // set before the first thread starts

/// For the lines that wait while the log is closed; a small part of the time that a process has to
/// end.
constexpr Milliseconds closeTimeout{500};

} // namespace

Logging::Logging(const LogOptions &options)
{
    writesJson = options.format == LogFormat::Json;
    spdlog::init_thread_pool(options.queueLines, 1);
    std::shared_ptr<spdlog::sinks::sink> sink;
    if (options.file.empty() || options.file == "-") {
        this->output =
            std::make_shared<OutputSink>(options.file.empty() ? STDERR_FILENO : STDOUT_FILENO);
        sink = this->output;
    } else {
        sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(options.file);
    }
    auto logger =
        std::make_shared<spdlog::async_logger>("guavavalve", std::move(sink), spdlog::thread_pool(),
                                               spdlog::async_overflow_policy::overrun_oldest);
    logger->set_level(spdlogLevel(options.level));
    logger->set_pattern(writesJson ? jsonPattern : textPattern);
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

Logging::~Logging()
{
    if (this->output)
        this->output->closeBy(monotonicNow() + closeTimeout);
    spdlog::shutdown();
}

std::uint64_t Logging::droppedLines()
{
    const auto pool = spdlog::thread_pool();
    if (!pool)
        return 0;
    std::uint64_t lines = pool->overrun_counter();
    const auto logger = spdlog::default_logger();
    for (const auto &sink : logger->sinks()) {
        if (const auto *output = dynamic_cast<const OutputSink *>(sink.get()))
            lines += output->droppedLines();
    }
    return lines;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    spdlog::logger *logger = spdlog::default_logger_raw();
    if (logger == nullptr || !logger->should_log(spdlogLevel(level)))
        return;
    if (!writesJson) {
        logger->log(spdlogLevel(level), fieldsAsText(event, fields));
        return;
    }
    const std::string object =
        fieldsAsJson(event, fields).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    logger->log(spdlogLevel(level), object.substr(1, object.size() - 2));
}

} // namespace guavavalve
