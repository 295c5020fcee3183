#include "tool/files.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace guavavalve {

Result<std::string> readFile(const std::string &path)
{
    constexpr std::size_t maxBytes = 64U << 20U;
    std::ifstream file;
    if (path != "-") {
        file.open(path, std::ios::binary);
        if (!file)
            return failure(ErrorCode::InvalidArgument, "cannot read " + path);
    }
    std::istream &stream = path == "-" ? std::cin : file;
    std::string bytes{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    if (bytes.size() > maxBytes)
        return failure(ErrorCode::InvalidArgument, path + " is larger than 64 MB");
    return bytes;
}

} // namespace guavavalve
