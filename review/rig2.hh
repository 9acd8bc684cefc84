// What the scripts of the second review share: processes of the system on
// loopback addresses, a stand-in server, clients and an operator.
//
// Each machine of a deployment has an address of its own in 127.0.0.0/8. The
// settings files are the templates of the deploy file, filled in as the
// platform does. POSIX sockets only.
//
// Example:
//   rig::deployment system(3);
//   system.start_all(true);
//   rig::answer got = rig::call(system.gateway(0), {"GET", "/desk/1"}, 2.0);
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig
{

using steady = std::chrono::steady_clock;

inline const steady::time_point began = steady::now();

// Seconds since the start of the script.
inline double now()
{
    return std::chrono::duration<double>(steady::now() - began).count();
}

inline void sleep_for(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void sleep_until(double time)
{
    sleep_for(time - now());
}

// Lines of record.txt: what was sent, answered and run.
class recorder
{
public:
    void open(const std::string& path) { this->file.open(path); }
    void line(const char* format, ...)
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(this->mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%9.4f ", now());
        this->file << time << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

inline recorder record;

// The case could not run.
[[noreturn]] inline void cannot_run(const std::string& why)
{
    record.line("cannot run: %s", why.c_str());
    throw std::runtime_error(why);
}

// --- Sockets -----------------------------------------------------------------

struct endpoint {
    std::string ip;
    int port = 0;
};

inline std::string text_of(const endpoint& at)
{
    return at.ip + ":" + std::to_string(at.port);
}

inline sockaddr_in address_of(const endpoint& at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
    return address;
}

inline bool is_free(const endpoint& at)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto address = address_of(at);
    const bool ok =
        ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    return ok;
}

inline bool wait_for(int fd, short events, double until)
{
    const double left = until - now();
    if (left <= 0)
        return false;
    pollfd item{fd, events, 0};
    return ::poll(&item, 1, int(left * 1000) + 1) > 0;
}

// A connected socket, or -1.
inline int connect_to(const endpoint& to, double until)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto address = address_of(to);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    int failed = 0;
    socklen_t size = sizeof failed;
    if (!wait_for(fd, POLLOUT, until) ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &failed, &size) != 0 || failed != 0) {
        ::close(fd);
        return -1;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline bool send_all(int fd, const std::string& bytes, double until)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto count =
            ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0)
            done += std::size_t(count);
        else if (errno != EAGAIN || !wait_for(fd, POLLOUT, until))
            return false;
    }
    return true;
}

// --- HTTP --------------------------------------------------------------------

using fields = std::vector<std::pair<std::string, std::string>>;

inline bool same_name(const std::string& left, const std::string& right)
{
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

inline std::string value_of(const fields& all, const std::string& name)
{
    for (const auto& [key, value] : all)
        if (same_name(key, name))
            return value;
    return {};
}

struct message {
    // "GET /path HTTP/1.1" or "HTTP/1.1 200 OK".
    std::string first_line;
    fields head;
    std::string body;
};

// Reads messages from one connection.
class reader
{
public:
    explicit reader(int socket)
        : fd(socket)
    {
    }

    // False at the end of the connection, a reset or `until`.
    bool read_head(message& to, double until)
    {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos)
            if (!this->fill(until))
                return false;
        std::istringstream lines(this->buffer.substr(0, end + 2));
        this->buffer.erase(0, end + 4);
        std::string line;
        std::getline(lines, line);
        to.first_line = line.substr(0, line.find('\r'));
        while (std::getline(lines, line)) {
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
                value.pop_back();
            to.head.emplace_back(line.substr(0, colon), value);
        }
        return true;
    }

    // Calls `piece` with each part of the body as it arrives. True if the body
    // is complete.
    bool read_body(
        message& to, double until, bool answer, const std::function<void(const std::string&)>& piece)
    {
        const auto add = [&](const std::string& bytes) {
            to.body += bytes;
            if (piece)
                piece(bytes);
        };
        if (same_name(value_of(to.head, "Transfer-Encoding"), "chunked"))
            return this->read_chunks(until, add);
        const auto length = value_of(to.head, "Content-Length");
        if (length.empty() && !answer)
            return true;
        if (length.empty()) {
            while (this->fill(until))
                add(std::exchange(this->buffer, {}));
            return this->ended;
        }
        std::size_t left = std::stoul(length);
        while (left > 0) {
            if (this->buffer.empty() && !this->fill(until))
                return false;
            const auto count = std::min(left, this->buffer.size());
            add(this->buffer.substr(0, count));
            this->buffer.erase(0, count);
            left -= count;
        }
        return true;
    }

    bool closed() const { return this->ended || this->reset; }

private:
    bool fill(double until)
    {
        if (this->closed() || !wait_for(this->fd, POLLIN, until))
            return false;
        char bytes[16384];
        const auto count = ::recv(this->fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (count > 0)
            this->buffer.append(bytes, std::size_t(count));
        else if (count == 0)
            this->ended = true;
        else if (errno != EAGAIN)
            this->reset = true;
        return count > 0 || (count < 0 && errno == EAGAIN);
    }

    template <class Add>
    bool read_chunks(double until, const Add& add)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos)
                if (!this->fill(until))
                    return false;
            const auto size = std::stoul(this->buffer.substr(0, end), nullptr, 16);
            while (this->buffer.size() < end + 2 + size + 2)
                if (!this->fill(until))
                    return false;
            const auto bytes = this->buffer.substr(end + 2, size);
            this->buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
            add(bytes);
        }
    }

    const int fd;
    std::string buffer;
    bool ended = false;
    bool reset = false;
};

struct request {
    std::string method = "GET";
    std::string target;
    fields head;
    std::string body;
};

struct answer {
    // 0: the connection failed or ended without an answer.
    int status = 0;
    fields head;
    std::string body;
    bool complete = false;
    // When the connection was closed, an answer was complete or time was up.
    double ended = 0;
    bool timed_out = false;
};

// One request on a connection of its own.
inline answer call(
    const endpoint& to,
    const request& asked,
    double seconds,
    const std::function<void(const std::string&)>& piece = {})
{
    answer got;
    const double until = now() + seconds;
    const int fd = connect_to(to, until);
    if (fd < 0) {
        got.ended = now();
        return got;
    }
    std::string bytes = asked.method + " " + asked.target + " HTTP/1.1\r\n";
    if (value_of(asked.head, "Host").empty())
        bytes += "Host: " + text_of(to) + "\r\n";
    for (const auto& [name, value] : asked.head)
        bytes += name + ": " + value + "\r\n";
    if (!asked.body.empty() || asked.method == "POST")
        bytes += "Content-Length: " + std::to_string(asked.body.size()) + "\r\n";
    bytes += "\r\n" + asked.body;
    message back;
    reader from(fd);
    if (send_all(fd, bytes, until) && from.read_head(back, until)) {
        got.status = std::atoi(back.first_line.substr(9, 3).c_str());
        got.complete = from.read_body(back, until, true, piece);
    }
    got.timed_out = !got.complete && !from.closed();
    ::close(fd);
    got.head = std::move(back.head);
    got.body = std::move(back.body);
    got.ended = now();
    return got;
}

// --- Processes ---------------------------------------------------------------

class processes
{
public:
    ~processes()
    {
        for (const auto& [name, pid] : this->running) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
    }

    void start(const std::string& name, const std::vector<std::string>& command, const std::string& log)
    {
        const pid_t pid = ::fork();
        if (pid == 0) {
            // It ends with the script, also if that is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            std::vector<char*> arguments;
            for (const auto& word : command)
                arguments.push_back(const_cast<char*>(word.c_str()));
            arguments.push_back(nullptr);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
        const std::lock_guard lock(this->mutex);
        this->running[name] = pid;
    }

    void signal(const std::string& name, int number)
    {
        const std::lock_guard lock(this->mutex);
        if (const auto found = this->running.find(name); found != this->running.end())
            ::kill(found->second, number);
    }

    // SIGKILL for all of them at the same moment.
    void kill(const std::vector<std::string>& names)
    {
        const std::lock_guard lock(this->mutex);
        for (const auto& name : names)
            if (this->running.contains(name))
                ::kill(this->running[name], SIGKILL);
        for (const auto& name : names)
            if (this->running.contains(name)) {
                ::waitpid(this->running[name], nullptr, 0);
                this->running.erase(name);
            }
    }

    // 0 if it does not run.
    pid_t pid_of(const std::string& name)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->running.find(name);
        return found == this->running.end() ? 0 : found->second;
    }

    // False if it has ended by itself.
    bool is_running(const std::string& name)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->running.find(name);
        if (found == this->running.end())
            return false;
        if (::waitpid(found->second, nullptr, WNOHANG) == 0)
            return true;
        this->running.erase(found);
        return false;
    }

private:
    std::mutex mutex;
    std::map<std::string, pid_t> running;
};

// Fills in a template of the deploy file.
inline std::string fill_in(std::string text, const std::map<std::string, std::string>& values)
{
    for (std::size_t at = 0; (at = text.find("{{#")) != std::string::npos;) {
        const auto name_end = text.find("}}", at);
        const auto name = text.substr(at + 3, name_end - at - 3);
        const auto end_mark = "{{/" + name + "}}";
        const auto end = text.find(end_mark, name_end);
        const auto inside = text.substr(name_end + 2, end - name_end - 2);
        text.replace(
            at, end + end_mark.size() - at, values.contains(name) ? inside : std::string());
    }
    for (std::size_t at = 0; (at = text.find("{{")) != std::string::npos;) {
        const auto end = text.find("}}", at);
        const auto found = values.find(text.substr(at + 2, end - at - 2));
        text.replace(at, end + 2 - at, found == values.end() ? std::string() : found->second);
    }
    return text;
}

inline std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

// --- A deployment --------------------------------------------------------------

struct bounds {
    double window_s = 3;
    double drain_s = 2;
    double apply_s = 2;
    int grace_s = 8;
};

// `count` machines, each with a disk, a gateway and a member of control.
class deployment
{
public:
    explicit deployment(std::size_t count)
        : machines(count)
    {
        char name[] = "/tmp/review-XXXXXX";
        if (::mkdtemp(name) == nullptr)
            cannot_run("no temporary folder");
        this->folder = name;
        this->choose_addresses();
    }

    ~deployment()
    {
        if (std::getenv("KEEP") != nullptr) {
            std::cerr << "kept " << this->folder << "\n";
            return;
        }
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }

    std::size_t size() const { return this->machines; }
    std::string ip(std::size_t machine) const
    {
        return this->net + std::to_string(machine + 1);
    }
    // An address for stand-ins.
    endpoint server_address(int number) const
    {
        return {this->net + std::to_string(100 + number), this->base + 6};
    }
    endpoint gateway(std::size_t machine) const { return {this->ip(machine), this->base}; }
    endpoint ready(std::size_t machine) const { return {this->ip(machine), this->base + 1}; }
    endpoint control(std::size_t machine) const { return {this->ip(machine), this->base + 2}; }

    std::vector<std::string> all_names() const
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < this->machines; ++i) {
            names.push_back("gateway-" + std::to_string(i));
            names.push_back("control-" + std::to_string(i));
        }
        return names;
    }

    void start_control(std::size_t machine, bool bootstrap)
    {
        this->start("control", machine, bootstrap);
    }
    void start_gateway(std::size_t machine) { this->start("gateway", machine, false); }
    void start_all(bool bootstrap)
    {
        for (std::size_t i = 0; i < this->machines; ++i) {
            this->start_control(i, bootstrap);
            this->start_gateway(i);
        }
    }

    bool all_ready(double until) const
    {
        for (std::size_t i = 0; i < this->machines; ++i)
            while (call(this->ready(i), {"GET", "/readyz", {}, {}}, 1).status != 200) {
                if (now() >= until)
                    return false;
                sleep_for(0.1);
            }
        return true;
    }

    // A call of a server or an operator: any node, redirects twice, then the
    // next node. The status, or 0.
    int ask_control(const std::string& method, const std::string& target, const std::string& body, double until)
    {
        while (now() < until) {
            auto to = this->control(this->next++ % this->machines);
            for (int hops = 0; hops < 3; ++hops) {
                const auto got = call(
                    to, {method, target, {{"Content-Type", "application/json"}}, body}, 1.0);
                if (got.status == 307) {
                    const auto place = value_of(got.head, "Location").substr(7);
                    const auto colon = place.find(':');
                    to = {place.substr(0, colon), std::atoi(place.c_str() + colon + 1)};
                    continue;
                }
                if (got.status >= 200 && got.status < 500 && got.status != 408 && got.status != 429)
                    return got.status;
                break;
            }
            sleep_for(0.1);
        }
        return 0;
    }

    processes run;
    // Of each machine; to be set before the processes are started.
    int memory_mb = 260;
    int descriptors = 4100;

private:
    void choose_addresses()
    {
        std::random_device seed;
        for (int tries = 0; tries < 200; ++tries) {
            this->net = "127." + std::to_string(20 + seed() % 200) + "." +
                        std::to_string(seed() % 250) + ".";
            this->base = 20000 + int(seed() % 1000) * 10;
            bool all_free = true;
            for (std::size_t i = 0; i < this->machines && all_free; ++i)
                for (const int port :
                     {this->base, this->base + 1, this->base + 2, this->base + 3, 9464, 9465})
                    all_free = all_free && is_free({this->ip(i), port});
            if (all_free)
                return;
        }
        cannot_run("no free addresses");
    }

    std::map<std::string, std::string> values(std::size_t machine, bool bootstrap) const
    {
        std::string seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(this->machines, 3); ++i)
            seeds += (i == 0 ? "" : ",") + text_of(this->control(i));
        return {
            {"nodeName", "edge-" + std::to_string(machine)},
            {"region", "scotland"},
            {"zone", "zone-" + std::to_string(machine % 3)},
            {"ip", this->ip(machine)},
            {"listen.frontend", text_of(this->gateway(machine))},
            {"listen.ready", text_of(this->ready(machine))},
            {"listen.controlPlane", text_of(this->control(machine))},
            {"internalPorts.0", std::to_string(this->base + 3)},
            {"seeds", seeds},
            {"bootstrap", bootstrap ? "true" : "false"},
            {"dataDirectory", this->folder + "/data-" + std::to_string(machine)},
            {"faultTolerance.machines", "1"},
            {"limits.memoryMb", std::to_string(this->memory_mb)},
            {"limits.fileDescriptors", std::to_string(this->descriptors)},
            {"limits.linkMbps", "1000.0"},
            {"bounds.graceS", "8"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.budgetSlack", "416"},
            {"bounds.budgetWindowS", "10"}};
    }

    // The command of the deploy file, with a settings file of the script.
    void start(const std::string& role, std::size_t machine, bool bootstrap)
    {
        const auto name = role + "-" + std::to_string(machine);
        const auto file = this->folder + "/" + name + ".ini";
        std::ofstream(file) << fill_in(
            read_file("deploy/" + role + ".ini"), this->values(machine, bootstrap));
        const char* from = std::getenv("PROGRAMS");
        this->run.start(
            name,
            {std::string(from == nullptr ? "target" : from) + "/oleanderhinge-" + role, "--config", file},
            this->folder + "/" + name + ".log");
    }

    const std::size_t machines;
    std::string folder;
    std::string net;
    int base = 0;
    std::atomic<std::size_t> next{0};
};

// --- Stand-in servers ----------------------------------------------------------

// Listens at one address, with a thread for each connection.
class listener
{
public:
    // Returns whether the connection is kept.
    using handler = std::function<bool(int fd, const message& asked)>;

    listener(endpoint at, handler serve)
        : place(std::move(at))
        , handle(std::move(serve))
    {
        this->open();
    }
    ~listener()
    {
        this->crash();
        // Handlers look at `is_alive` while they wait.
        for (const double limit = now() + 10; *this->threads > 0 && now() < limit;)
            sleep_for(0.01);
    }

    void open()
    {
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const auto address = address_of(this->place);
        if (::bind(this->fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(this->fd, 512) != 0)
            cannot_run("cannot listen at " + text_of(this->place));
        this->alive = true;
        this->accepting = std::thread([this] { this->accept(); });
    }

    // Ends as a process does that crashes: its port refuses connections, and
    // the open ones are reset.
    void crash()
    {
        if (!this->alive.exchange(false))
            return;
        {
            const std::lock_guard lock(this->mutex);
            ::shutdown(this->fd, SHUT_RDWR);
            ::close(this->fd);
            const linger hard{1, 0};
            for (const int open : this->connections) {
                setsockopt(open, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
                // Wakes the thread, which closes it.
                ::shutdown(open, SHUT_RD);
            }
        }
        if (this->accepting.joinable())
            this->accepting.join();
    }

    bool is_alive() const { return this->alive; }
    const endpoint& at() const { return this->place; }

private:
    void accept()
    {
        const int listening = this->fd;
        while (this->alive) {
            const int open = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (open < 0)
                return;
            const int one = 1;
            setsockopt(open, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            {
                const std::lock_guard lock(this->mutex);
                this->connections.insert(open);
            }
            ++*this->threads;
            std::thread([this, open, count = this->threads] {
                this->serve(open);
                {
                    const std::lock_guard lock(this->mutex);
                    this->connections.erase(open);
                    ::close(open);
                }
                --*count;
            }).detach();
        }
    }

    void serve(int open)
    {
        reader from(open);
        while (this->alive) {
            message asked;
            if (!from.read_head(asked, now() + 15) || !from.read_body(asked, now() + 15, false, {}))
                return;
            if (!this->handle(open, asked))
                return;
        }
    }

    const endpoint place;
    const handler handle;
    int fd = -1;
    std::atomic<bool> alive{false};
    std::mutex mutex;
    std::set<int> connections;
    std::thread accepting;
    const std::shared_ptr<std::atomic<int>> threads = std::make_shared<std::atomic<int>>(0);
};

inline std::string method_of(const message& asked)
{
    return asked.first_line.substr(0, asked.first_line.find(' '));
}

inline std::string target_of(const message& asked)
{
    const auto begin = asked.first_line.find(' ') + 1;
    return asked.first_line.substr(begin, asked.first_line.find(' ', begin) - begin);
}

// Whether the peer has closed the connection.
inline bool has_left(int fd)
{
    char byte = 0;
    const auto count = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
}

inline bool respond(int fd, const std::string& status, const fields& head, const std::string& body)
{
    std::string bytes = "HTTP/1.1 " + status + "\r\n";
    for (const auto& [name, value] : head)
        bytes += name + ": " + value + "\r\n";
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return send_all(fd, bytes, now() + 5);
}

inline std::uint64_t unix_ms()
{
    return std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count());
}

} // namespace rig
