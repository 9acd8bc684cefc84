// Starts and ends the programs of a multi-process test in a temporary folder.
//
// Example:
//   processes run;
//   run.start("entry-1", {"oleanderhinge-entry", "--config", file});
//   run.signal("entry-1", SIGKILL);
#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace oleanderhinge::tests
{

class processes
{
public:
    processes();
    // Ends all processes that are left and removes the folder, unless a test
    // has failed.
    ~processes();
    processes(const processes&) = delete;
    processes& operator=(const processes&) = delete;

    // Starts a program of the build folder; its output goes to NAME.log.
    // `variables`: "NAME=value", added to the environment of the test.
    void start(
        const std::string& name,
        const std::vector<std::string>& command,
        const std::vector<std::string>& variables = {});
    void signal(const std::string& name, int number);
    // Waits until the process has ended; its exit code, or 128 plus the signal.
    int wait(const std::string& name);
    // Kills the process and waits for its end.
    void kill(const std::string& name);
    bool is_running(const std::string& name);
    // The largest resident memory so far in bytes, and the open descriptors, as
    // the kernel counts them. 0 for a process that has ended.
    std::size_t peak_memory(const std::string& name) const;
    std::size_t open_descriptors(const std::string& name) const;

    // Writes a file in the folder and returns its path.
    std::string write(const std::string& file, const std::string& contents);
    std::string path(const std::string& file) const;
    std::string read(const std::string& file) const;

    // A TCP and UDP port of the loopback address that was free a moment ago.
    static std::uint16_t free_port();

private:
    const std::filesystem::path folder;
    std::map<std::string, pid_t> running;
};

} // namespace oleanderhinge::tests
