#include "runtime/uritext.h"

#include <algorithm>

namespace guavavalve {

namespace {

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

/// Without the locale, which std::tolower depends on.
char lowerCase(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace

std::optional<std::string> percentDecoded(std::string_view encoded)
{
    std::string decoded;
    decoded.reserve(encoded.size());
    for (std::size_t i = 0; i < encoded.size(); ++i) {
        if (encoded[i] != '%') {
            decoded.push_back(encoded[i]);
            continue;
        }
        const int high = i + 2 < encoded.size() ? hexValue(encoded[i + 1]) : -1;
        const int low = i + 2 < encoded.size() ? hexValue(encoded[i + 2]) : -1;
        if (high < 0 || low < 0)
            return std::nullopt;
        decoded.push_back(static_cast<char>(high * 16 + low));
        i += 2;
    }
    return decoded;
}

std::string percentEncoded(std::string_view path)
{
    constexpr std::string_view plain = "-._~/:@!$&'()*+,;="; // RFC 3986, section 3.3
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : path) {
        const bool isAlphanumeric = (letter >= '0' && letter <= '9')
            || (lowerCase(letter) >= 'a' && lowerCase(letter) <= 'z');
        if (isAlphanumeric || plain.find(letter) != std::string_view::npos) {
            encoded.push_back(letter);
            continue;
        }
        const auto byte = static_cast<unsigned char>(letter);
        encoded.push_back('%');
        encoded.push_back(digits[byte >> 4U]);
        encoded.push_back(digits[byte & 15U]);
    }
    return encoded;
}

std::string hostName(std::string_view authority)
{
    const bool isLiteral = !authority.empty() && authority.front() == '[';
    const std::size_t colon = authority.find(':', isLiteral ? authority.find(']') : 0);
    std::string_view host = authority;
    // More than one colon outside brackets: an IPv6 address without a port.
    if (colon != std::string_view::npos && authority.find(':', colon + 1) == std::string_view::npos)
        host = authority.substr(0, colon);
    if (host.size() > 1 && host.back() == '.')
        host.remove_suffix(1);
    std::string name(host);
    std::transform(name.begin(), name.end(), name.begin(), lowerCase);
    return isLiteral || colon == std::string_view::npos || host != authority ? name
                                                                             : "[" + name + "]";
}

} // namespace guavavalve
