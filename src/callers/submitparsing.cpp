#include "callers/submitparsing.h"

#include "callers/callercontract.h"
#include "runtime/httpserver.h"

#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cstdio>
#include <random>

namespace guavavalve {

namespace {

constexpr std::size_t maxIdempotencyKeyBytes = 128;
constexpr std::int64_t maxTasks = 10000;
constexpr std::int64_t maxMs = 31LL * 24 * 3600 * 1000;
constexpr std::int64_t maxAmount = 2147483647;

/// First character of generated idempotency keys. Callers' keys must not begin with it, so the
/// two never collide.
constexpr char generatedKeyPrefix = '~';

Error wrongHeader(std::string_view name, std::string_view found, std::string_view allowed)
{
    constexpr std::size_t maxQuoted = 64;
    return failure(ErrorCode::InvalidArgument,
                   "header " + std::string(name) + " is \""
                       + std::string(found.substr(0, maxQuoted)) + "\" and must be "
                       + std::string(allowed));
}

Result<std::int64_t> readNumber(const HttpRequest &request, std::string_view name,
                                std::int64_t least, std::int64_t most, std::int64_t absent)
{
    const std::string text = request.header(name);
    if (text.empty())
        return absent;
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < least || value > most)
        return wrongHeader(name, text,
                           "a whole number from " + std::to_string(least) + " to "
                               + std::to_string(most));
    return value;
}

/// Parses one "kind=amount" item of the need.
bool readAmount(std::string_view item, Resources &need)
{
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos)
        return false;
    const auto kind =
        std::find(resourceKindNames.begin(), resourceKindNames.end(), item.substr(0, equals));
    if (kind == resourceKindNames.end())
        return false;
    const std::string_view text = item.substr(equals + 1);
    std::int64_t amount = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), amount);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || amount < 0
        || amount > maxAmount)
        return false;
    need.amounts[static_cast<std::size_t>(kind - resourceKindNames.begin())] = amount;
    return true;
}

Result<Resources> readNeed(const HttpRequest &request)
{
    Resources need;
    need[ResourceKind::Slots] = 1;
    need[ResourceKind::Connections] = 1;
    const std::string text = request.header(needHeader);
    std::string_view rest = text;
    while (!rest.empty()) {
        const std::size_t comma = std::min(rest.find(','), rest.size());
        std::string_view item = rest.substr(0, comma);
        rest.remove_prefix(std::min(comma + 1, rest.size()));
        while (!item.empty() && item.front() == ' ')
            item.remove_prefix(1);
        if (!readAmount(item, need))
            return wrongHeader(needHeader, text,
                               "a list such as \"milliCores=500,memoryMb=256\" of milliCores, "
                               "memoryMb, accelerators, slots and connections");
    }
    return need;
}

std::string generateIdempotencyKey(const InstanceId &entry)
{
    static std::atomic<std::uint64_t> counter{0};
    // Keeps keys unique across restarts of an instance, each of which resets the counter.
    static const std::uint64_t processNonce =
        (static_cast<std::uint64_t>(std::random_device{}()) << 32U) | std::random_device{}();
    return generatedKeyPrefix + entry + "/" + std::to_string(processNonce) + "/"
        + std::to_string(++counter);
}

Result<std::string> readIdempotencyKey(const HttpRequest &request, const InstanceId &entry)
{
    std::string key = request.header(idempotencyKeyHeader);
    if (key.empty())
        return generateIdempotencyKey(entry);
    const bool printable =
        std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
    if (key.size() > maxIdempotencyKeyBytes || !printable || key.front() == generatedKeyPrefix)
        return wrongHeader(idempotencyKeyHeader, key,
                           "1 to 128 printable ASCII characters without spaces, and not begin "
                           "with \"~\"");
    return key;
}

Result<WorkClass> readClass(const HttpRequest &request)
{
    const std::string text = request.header(classHeader);
    if (text.empty())
        return WorkClass::Prompt;
    const auto workClass = enumFromName(workClassNames, text);
    if (!workClass)
        return wrongHeader(classHeader, text, "prompt, service, batch or gang");
    return *workClass;
}

Result<bool> readRepeatable(const HttpRequest &request)
{
    const std::string text = request.header(repeatableHeader);
    if (text.empty() || text == "true")
        return true;
    if (text == "false")
        return false;
    return wrongHeader(repeatableHeader, text, "true or false");
}

Result<void> readTimes(const HttpRequest &request, SubmitRequest &submit)
{
    struct Field
    {
        std::string_view header;
        std::int64_t *into;
    };
    const Field fields[] = {{startWithinHeader, &submit.startWithinMs},
                            {finishWithinHeader, &submit.finishWithinMs},
                            {runTimeHeader, &submit.declaredRunTimeMs}};
    for (const Field &field : fields) {
        auto value = readNumber(request, field.header, 0, maxMs, 0);
        if (!value)
            return value.error();
        *field.into = value.value();
    }
    return boost::outcome_v2::success();
}

Result<void> readParameters(const HttpRequest &request, SubmitRequest &submit)
{
    auto workClass = readClass(request);
    if (!workClass)
        return workClass.error();
    auto need = readNeed(request);
    if (!need)
        return need.error();
    auto tasks = readNumber(request, tasksHeader, 1, maxTasks, 1);
    if (!tasks)
        return tasks.error();
    auto repeatable = readRepeatable(request);
    if (!repeatable)
        return repeatable.error();
    submit.workClass = workClass.value();
    submit.need = need.value();
    submit.tasks = static_cast<std::uint32_t>(tasks.value());
    submit.repeatable = repeatable.value();
    return readTimes(request, submit);
}

} // namespace

std::string submitDigest(const SubmitRequest &request)
{
    std::string text(enumName(workClassNames, request.workClass));
    for (const std::int64_t amount : request.need.amounts)
        text += "," + std::to_string(amount);
    text += "," + std::to_string(request.tasks) + (request.repeatable ? ",r," : ",o,")
        + std::to_string(request.startWithinMs) + "," + std::to_string(request.finishWithinMs) + ","
        + std::to_string(request.declaredRunTimeMs) + "\n" + request.payload;
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    constexpr std::size_t hexBytes = 33;
    char hex[hexBytes];
    std::snprintf(hex, sizeof(hex), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return hex;
}

Result<SubmitRequest> parseSubmit(HttpRequest request, const CallerIdentity &caller,
                                  const InstanceId &entry)
{
    SubmitRequest submit;
    if (auto read = readParameters(request, submit); !read)
        return read.error();
    auto key = readIdempotencyKey(request, entry);
    if (!key)
        return key.error();
    submit.idempotencyKey = std::move(key).value();
    submit.keyId = caller.keyId;
    submit.team = caller.team;
    submit.payload = std::move(request.body);
    submit.entry = entry;
    submit.digest = submitDigest(submit);
    return submit;
}

} // namespace guavavalve
