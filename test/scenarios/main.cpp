#include "scenarios/cell.h"
#include "scenarios/story.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace {

std::string newFolder()
{
    std::random_device random;
    const std::filesystem::path path = std::filesystem::temp_directory_path()
        / ("guavavalve-scenario-" + std::to_string(random()) + std::to_string(random()));
    std::filesystem::create_directory(path);
    return path.string();
}

/// Prints the end of each process log and start log, to help find out why a story failed.
void printLogs(const std::string &folder)
{
    constexpr std::size_t shown = 2000;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        const std::string extension = file.path().extension().string();
        if (extension != ".log" && extension != ".ledger")
            continue;
        std::ifstream stream(file.path());
        std::stringstream content;
        content << stream.rdbuf();
        const std::string text = content.str();
        std::cerr << "--- " << file.path().filename().string() << '\n'
                  << text.substr(text.size() > shown ? text.size() - shown : 0) << '\n';
    }
}

bool runStory(std::istream &script, const std::string &build, const std::string &folder)
{
    scenarios::Cell cell(build, folder);
    scenarios::Story story(cell);
    const auto began = std::chrono::steady_clock::now();
    int lineNumber = 0;
    for (std::string line; std::getline(script, line);) {
        ++lineNumber;
        if (line.empty() || line[0] == '#')
            continue;
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - began);
        std::cout << elapsed.count() << " ms: " << line << std::endl;
        try {
            story.runLine(line);
        } catch (const std::exception &problem) {
            std::cerr << "line " << lineNumber << ": " << line << "\n  " << problem.what() << '\n';
            printLogs(folder);
            return false;
        }
    }
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: scenariorunner BUILD_FOLDER STORY\n";
        return 2;
    }
    std::ifstream script(argv[2]);
    if (!script) {
        std::cerr << "cannot read " << argv[2] << '\n';
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = newFolder();
    const bool passed = runStory(script, argv[1], folder);
    std::filesystem::remove_all(folder);
    std::cout << (passed ? "story passed" : "story failed") << std::endl;
    return passed ? 0 : 1;
}
