#pragma once

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>

namespace fakes {

/// A unique path in the system's folder for temporary files. The file is removed on destruction.
class TemporaryFile
{
public:
    TemporaryFile()
        : path((std::filesystem::temp_directory_path()
                / ("guavavalve-test-" + std::to_string(std::random_device{}()) + "-"
                   + std::to_string(std::random_device{}())))
                   .string())
    {}
    ~TemporaryFile() { std::filesystem::remove(this->path); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    std::string content() const
    {
        std::ifstream file(this->path);
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }

    const std::string path;
};

} // namespace fakes
