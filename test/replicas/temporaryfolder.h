#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace guavavalve {

/// A folder that is removed together with the object.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "replicasXXXXXX").string();
        this->folder = ::mkdtemp(pattern.data());
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const { return this->folder; }

private:
    std::string folder;
};

} // namespace guavavalve
