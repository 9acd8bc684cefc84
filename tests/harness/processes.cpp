#include "tests/harness/processes.hpp"

#include "tests/harness/ports.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace oleanderhinge::tests
{

namespace
{

std::filesystem::path make_folder()
{
    std::string name =
        (std::filesystem::temp_directory_path() / "oleanderhinge-XXXXXX")
            .string();
    if (mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("cannot make a temporary folder");
    return name;
}

// Ends of the logs of all processes, for runs whose files are not kept.
void print_logs(const std::filesystem::path& folder)
{
    constexpr std::size_t line_count = 3;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() != ".log")
            continue;
        std::ifstream in(entry.path());
        std::deque<std::string> last;
        for (std::string line; std::getline(in, line);) {
            last.push_back(line);
            if (last.size() > line_count)
                last.pop_front();
        }
        for (const auto& line : last)
            std::fprintf(
                stderr,
                "%s: %.300s\n",
                entry.path().filename().c_str(),
                line.c_str());
    }
}

std::vector<char*> pointers_to(const std::vector<std::string>& texts)
{
    std::vector<char*> pointers;
    for (const auto& text : texts)
        pointers.push_back(const_cast<char*>(text.c_str()));
    return pointers;
}

int exit_code(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace

processes::processes()
    : folder(make_folder())
{
}

processes::~processes()
{
    for (const auto& [name, pid] : this->running) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    if (testing::Test::HasFailure()) {
        std::fprintf(stderr, "files kept in %s\n", this->folder.c_str());
        print_logs(this->folder);
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

void processes::start(
    const std::string& name,
    const std::vector<std::string>& command,
    const std::vector<std::string>& variables)
{
    const std::string program =
        std::string(OLEANDERHINGE_BINARY_DIR) + "/" + command.front();
    auto arguments = pointers_to(command);
    arguments.push_back(nullptr);
    auto environment = pointers_to(variables);
    for (char** inherited = environ; *inherited != nullptr; ++inherited)
        environment.push_back(*inherited);
    environment.push_back(nullptr);
    const auto log = this->path(name + ".log");
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(
        &files,
        STDOUT_FILENO,
        log.c_str(),
        O_WRONLY | O_CREAT | O_APPEND,
        0600);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = 0;
    const int failed = posix_spawn(
        &pid,
        program.c_str(),
        &files,
        nullptr,
        arguments.data(),
        environment.data());
    posix_spawn_file_actions_destroy(&files);
    if (failed != 0)
        throw std::runtime_error("cannot start " + program);
    this->running[name] = pid;
}

void processes::signal(const std::string& name, int number)
{
    ::kill(this->running.at(name), number);
}

int processes::wait(const std::string& name)
{
    int status = 0;
    ::waitpid(this->running.at(name), &status, 0);
    this->running.erase(name);
    return exit_code(status);
}

void processes::kill(const std::string& name)
{
    this->signal(name, SIGKILL);
    this->wait(name);
}

bool processes::is_running(const std::string& name)
{
    const auto found = this->running.find(name);
    if (found == this->running.end())
        return false;
    int status = 0;
    if (::waitpid(found->second, &status, WNOHANG) == 0)
        return true;
    this->running.erase(found);
    return false;
}

std::size_t processes::peak_memory(const std::string& name) const
{
    std::ifstream in(
        "/proc/" + std::to_string(this->running.at(name)) + "/status");
    constexpr std::string_view field = "VmHWM:";
    for (std::string line; std::getline(in, line);)
        if (line.starts_with(field))
            return std::stoull(line.substr(field.size())) * 1024;
    return 0;
}

std::size_t processes::open_descriptors(const std::string& name) const
{
    std::error_code failed;
    const std::filesystem::directory_iterator open(
        "/proc/" + std::to_string(this->running.at(name)) + "/fd", failed);
    return failed ? 0 : std::size_t(std::distance(begin(open), end(open)));
}

std::string
processes::write(const std::string& file, const std::string& contents)
{
    std::ofstream(this->path(file)) << contents;
    return this->path(file);
}

std::string processes::path(const std::string& file) const
{
    return (this->folder / file).string();
}

std::string processes::read(const std::string& file) const
{
    std::ifstream in(this->path(file));
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::uint16_t processes::free_port()
{
    static port_allocator ports(std::uint32_t(::getpid()));
    return ports.take();
}

} // namespace oleanderhinge::tests
