// Stand-ins and helpers of the cases of REPORT-3.md: a small deployment on
// loopback addresses, with the project's own programs as separate processes.
//
// A case is a program of one file. Its exit status is 1 if the rule was broken,
// 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it does the same without the disruption.
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
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace rig
{

namespace fs = std::filesystem;
using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using ms = std::chrono::milliseconds;
using headers = std::vector<std::pair<std::string, std::string>>;

constexpr int broken = 1;
constexpr int held = 0;
constexpr int cannot_run = 2;

inline const time_point began = clock::now();

inline double seconds()
{
    return std::chrono::duration<double>(clock::now() - began).count();
}

inline void sleep_ms(int time)
{
    std::this_thread::sleep_for(ms(time));
}

inline bool with_trouble()
{
    const char* chosen = std::getenv("TROUBLE");
    return chosen == nullptr || std::string(chosen) != "0";
}

// The record of a case: what was sent, answered and run.
class record_file
{
public:
    void open(const std::string& path)
    {
        this->file = std::fopen(path.c_str(), "w");
        if (this->file == nullptr)
            throw std::runtime_error("cannot write " + path);
    }
    __attribute__((format(printf, 2, 3))) void
    line(const char* format, ...)
    {
        const std::lock_guard lock(this->mutex);
        std::va_list values;
        va_start(values, format);
        std::fprintf(this->file, "%8.3f ", seconds());
        std::vfprintf(this->file, format, values);
        std::fputc('\n', this->file);
        std::fflush(this->file);
        va_end(values);
    }

private:
    std::mutex mutex;
    std::FILE* file = nullptr;
};

inline record_file record;

// --- HTTP, as far as stand-ins need it.

class connection
{
public:
    explicit connection(int number)
        : fd(number)
    {
        int one = 1;
        setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~connection() { this->close(); }
    connection(const connection&) = delete;

    void close()
    {
        if (this->fd >= 0)
            ::close(this->fd);
        this->fd = -1;
    }
    void reset()
    {
        linger now{1, 0};
        if (this->fd >= 0)
            setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        this->close();
    }
    // From another thread.
    void abort()
    {
        linger now{1, 0};
        if (this->fd >= 0) {
            setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            ::shutdown(this->fd, SHUT_RDWR);
        }
    }
    bool write(const std::string& text)
    {
        std::size_t done = 0;
        while (done < text.size()) {
            const auto count = ::send(
                this->fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            done += std::size_t(count);
        }
        return true;
    }
    // Waits for bytes; false at the limit or the end.
    bool fill(time_point limit)
    {
        const auto left =
            std::chrono::duration_cast<ms>(limit - clock::now()).count();
        pollfd waits{this->fd, POLLIN, 0};
        if (this->fd < 0 || left <= 0 || ::poll(&waits, 1, int(left)) <= 0) {
            this->timed_out = true;
            return false;
        }
        char bytes[16384];
        const auto count = ::recv(this->fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            this->ended = true;
            return false;
        }
        this->buffer.append(bytes, std::size_t(count));
        return true;
    }
    bool read_line(std::string& line, time_point limit)
    {
        std::size_t end = 0;
        while ((end = this->buffer.find('\n')) == std::string::npos)
            if (!this->fill(limit))
                return false;
        line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 1);
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        return true;
    }
    bool read_exactly(std::string& text, std::size_t size, time_point limit)
    {
        while (this->buffer.size() < size)
            if (!this->fill(limit))
                return false;
        text = this->buffer.substr(0, size);
        this->buffer.erase(0, size);
        return true;
    }

    int fd;
    std::string buffer;
    bool ended = false;
    bool timed_out = false;
};

struct message {
    std::string first_line;
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string& lower_name) const
    {
        const auto found = this->fields.find(lower_name);
        return found == this->fields.end() ? "" : found->second;
    }
};

inline bool read_head(connection& from, message& to, time_point limit)
{
    if (!from.read_line(to.first_line, limit))
        return false;
    std::string line;
    while (true) {
        if (!from.read_line(line, limit))
            return false;
        if (line.empty())
            return true;
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        to.fields[name] = value;
    }
}

inline sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// A connected socket, or -1.
inline int connect_to(const std::string& ip, int port, int limit_ms)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = address_of(ip, port);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    int failed = 0;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        pollfd waits{fd, POLLOUT, 0};
        socklen_t size = sizeof failed;
        if (errno != EINPROGRESS || ::poll(&waits, 1, limit_ms) <= 0 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &failed, &size) != 0 || failed != 0) {
            ::close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, 0);
    return fd;
}

inline std::string request_text(
    const std::string& method,
    const std::string& target,
    const std::string& host,
    const headers& fields,
    const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

struct answer {
    // 0: no answer.
    int status = 0;
    message content;
};

// A call of the operator, or of the platform: follows 307 twice.
inline answer call(
    const std::string& ip,
    int port,
    const std::string& method,
    const std::string& target,
    const std::string& body = {},
    int limit_ms = 1000,
    int redirects = 2)
{
    answer result;
    const int fd = connect_to(ip, port, limit_ms);
    if (fd < 0)
        return result;
    connection peer(fd);
    const auto limit = clock::now() + ms(limit_ms);
    headers fields{{"Connection", "close"}};
    if (!body.empty())
        fields.emplace_back("Content-Type", "application/json");
    if (!peer.write(request_text(
            method, target, ip + ":" + std::to_string(port), fields, body)) ||
        !read_head(peer, result.content, limit))
        return result;
    const auto size = std::size_t(
        std::atoll(result.content.field("content-length").c_str()));
    if (!peer.read_exactly(result.content.body, size, limit))
        return result;
    result.status = std::atoi(result.content.first_line.c_str() + 9);
    const auto location = result.content.field("location");
    if (result.status == 307 && redirects > 0 && location.starts_with("http://")) {
        const auto slash = location.find('/', 7);
        const auto colon = location.find(':', 7);
        return call(
            location.substr(7, colon - 7),
            std::atoi(location.c_str() + colon + 1),
            method,
            location.substr(slash),
            body,
            limit_ms,
            redirects - 1);
    }
    return result;
}

// --- Processes.

class process
{
public:
    ~process() { this->kill(); }

    void start(
        const std::vector<std::string>& command, const std::string& log)
    {
        std::vector<char*> words;
        for (const auto& word : command)
            words.push_back(const_cast<char*>(word.c_str()));
        words.push_back(nullptr);
        const auto parent = getpid();
        this->pid = ::fork();
        if (this->pid != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(127);
        const int out = ::open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
        dup2(out, 1);
        dup2(out, 2);
        ::execv(words[0], words.data());
        _exit(127);
    }
    void kill()
    {
        if (this->pid <= 0)
            return;
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = 0;
    }
    // False if the process has ended by itself.
    bool runs()
    {
        if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid)
            this->pid = 0;
        return this->pid > 0;
    }
    // Resident memory of its own, without files, in MB.
    double memory_mb() const
    {
        std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
        std::string line;
        while (std::getline(status, line))
            if (line.starts_with("RssAnon:"))
                return std::atof(line.c_str() + 8) / 1024;
        return 0;
    }

    pid_t pid = 0;
};

using values = std::map<std::string, std::string>;

// Fills in a template of the deploy folder: {{name}}, {{#name}} .. {{/name}}.
inline std::string render(std::string text, const values& from)
{
    std::string out;
    std::size_t at = 0;
    while (true) {
        const auto open = text.find("{{", at);
        out += text.substr(at, open - at);
        if (open == std::string::npos)
            return out;
        const auto close = text.find("}}", open);
        auto name = text.substr(open + 2, close - open - 2);
        at = close + 2;
        if (name[0] == '/')
            continue;
        const bool section = name[0] == '#';
        if (section)
            name.erase(0, 1);
        const auto found = from.find(name);
        if (!section) {
            out += found == from.end() ? "" : found->second;
        } else if (found == from.end()) {
            const auto end = "{{/" + name + "}}";
            at = text.find(end, at) + end.size();
        }
    }
}

inline std::string read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        throw std::runtime_error("cannot read " + path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

// A deployment in a temporary folder, with its own loopback network.
class deployment
{
public:
    struct machine {
        std::string ip;
        std::string folder;
        bool has_disk = false;
        process control;
        process gateway;
    };

    deployment()
        : root(std::getenv("REVIEW_ROOT") ? std::getenv("REVIEW_ROOT") : ".")
    {
        std::string pattern = fs::temp_directory_path().string() + "/review3-XXXXXX";
        if (mkdtemp(pattern.data()) == nullptr)
            throw std::runtime_error("no temporary folder");
        this->folder = pattern;
        for (const char* program : {"control", "gateway"})
            if (!fs::exists(this->program(program)))
                throw std::runtime_error("not built: " + this->program(program));
        std::srand(unsigned(getpid()) ^ unsigned(time(nullptr)));
        this->net = "127." + std::to_string(1 + std::rand() % 250) + "." +
                    std::to_string(1 + std::rand() % 250) + ".";
        this->choose_ports();
    }
    ~deployment()
    {
        this->machines.clear();
        std::error_code ignored;
        if (std::getenv("REVIEW_KEEP") == nullptr)
            fs::remove_all(this->folder, ignored);
    }

    std::string program(const std::string& role) const
    {
        return this->root + "/target/oleanderhinge-" + role;
    }

    machine& add(bool has_disk)
    {
        auto& made = *this->machines.emplace_back(std::make_unique<machine>());
        made.ip = this->net + std::to_string(9 + this->machines.size());
        made.folder = this->folder + "/" + made.ip;
        made.has_disk = has_disk;
        fs::create_directories(made.folder);
        return made;
    }

    // The fields of a settings file that the templates use.
    values settings(const machine& of, const std::string& role, bool first) const
    {
        std::string seeds;
        for (const auto& seed : this->seeds)
            seeds += (seeds.empty() ? "" : ",") + seed + ":" + std::to_string(this->admin_port);
        values all{
            {"nodeName", role + "-" + of.ip},
            {"ip", of.ip},
            {"zone", "zone-" + std::to_string(std::atoi(of.ip.substr(of.ip.rfind('.') + 1).c_str()) % 3)},
            {"region", "region"},
            {"seeds", seeds},
            {"bootstrap", first ? "true" : "false"},
            {"internalPorts.0", std::to_string(this->link_port)},
            {"faultTolerance.machines", std::to_string(this->tolerated)},
            {"limits.linkMbps", "1000.0"},
            {"limits.memoryMb", std::to_string(this->memory_mb)},
            {"limits.fileDescriptors", "2870"},
            {"bounds.graceS", "8"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.budgetSlack", "416"},
            {"bounds.budgetWindowS", "10"},
            {"listen.frontend", of.ip + ":" + std::to_string(this->front_port)},
            {"listen.ready", of.ip + ":" + std::to_string(this->ready_port)},
            {"listen.controlPlane", of.ip + ":" + std::to_string(this->admin_port)}};
        if (of.has_disk)
            all["dataDirectory"] = of.folder + "/data";
        return all;
    }

    void start(machine& on, const std::string& role, bool first)
    {
        auto text = render(
            read_file(this->root + "/deploy/" + role + ".ini"),
            this->settings(on, role, first));
        // The ports of the metrics pages are fixed in the templates.
        for (const char* fixed : {":9465", ":9464"})
            if (const auto at = text.find(fixed); at != std::string::npos)
                text.replace(at, 5, ":" + std::to_string(this->metrics_port + (fixed[4] - '4')));
        const auto file = on.folder + "/" + role + ".ini";
        std::ofstream(file) << text;
        (role == "control" ? on.control : on.gateway)
            .start({this->program(role), "--config", file}, on.folder + "/" + role + ".log");
        record.line("start %s %s first_start=%d", role.c_str(), on.ip.c_str(), int(first));
    }

    // Loses the disk of a machine whose process is not running.
    void wipe(const machine& of) const { fs::remove_all(of.folder + "/data"); }

    answer operate(
        const machine& at,
        const std::string& method,
        const std::string& body = {},
        int limit_ms = 1000) const
    {
        return call(at.ip, this->admin_port, method, "/v1/forwarding-table", body, limit_ms);
    }
    bool is_ready(const machine& of) const
    {
        return call(of.ip, this->ready_port, "GET", "/readyz").status == 200;
    }

    // Sends a manifest to each machine in turn until it is acknowledged.
    bool put(const std::vector<machine*>& to, const std::string& manifest, double limit_s, int limit_ms = 1000) const
    {
        const auto end = clock::now() + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(limit_s));
        for (std::size_t next = 0; clock::now() < end; ++next) {
            if (this->operate(*to[next % to.size()], "POST", manifest, limit_ms).status == 200)
                return true;
            sleep_ms(30);
        }
        return false;
    }

    const std::string root;
    std::string folder;
    std::string net;
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<std::string> seeds;
    int tolerated = 1;
    int memory_mb = 182;
    int link_port = 0;
    int admin_port = 0;
    int front_port = 0;
    int ready_port = 0;
    int metrics_port = 0;
    int server_port = 0;

private:
    static bool is_free(const std::string& ip, int port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = address_of(ip, port);
        const bool free =
            ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(fd);
        return free;
    }
    void choose_ports()
    {
        for (int tries = 0; tries < 100; ++tries) {
            const int first = 20000 + std::rand() % 9000;
            bool free = true;
            for (int port = first; port < first + 7; ++port)
                free = free && is_free(this->net + "9", port);
            if (!free)
                continue;
            this->link_port = first;
            this->admin_port = first + 1;
            this->front_port = first + 2;
            this->ready_port = first + 3;
            this->metrics_port = first + 4;
            this->server_port = first + 6;
            return;
        }
        throw std::runtime_error("no free ports");
    }
};

// --- Manifests.

struct route {
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    int timeout_ms = 20000;
    int target_ms = 500;
    int attempts = 2;
    bool resumable = false;
    bool anonymous = true;
};

inline std::string manifest_text(
    int version,
    const std::vector<route>& routes,
    const std::set<std::string>& services,
    const std::string& tenants = {})
{
    std::ostringstream out;
    out << "{\"version\":" << version << ",\"routes\":[";
    const char* comma = "";
    for (const auto& item : routes) {
        out << comma << "{\"name\":\"" << item.name << "\",\"host\":\"desk.example\",\"pathPrefix\":\""
            << item.prefix << "\",\"kind\":\"" << item.kind << "\",\"timeoutMs\":" << item.timeout_ms
            << ",\"targetLatencyMs\":" << item.target_ms << ",\"priority\":0,\"service\":\"" << item.service
            << "\",\"attempts\":" << item.attempts << ",\"anonymous\":" << (item.anonymous ? "true" : "false");
        if (item.kind == "streaming")
            out << ",\"sticky\":true,\"resumable\":" << (item.resumable ? "true" : "false") << ",\"gapTargetMs\":250";
        out << "}";
        comma = ",";
    }
    out << "],\"services\":[";
    comma = "";
    for (const auto& name : services) {
        out << comma << "{\"name\":\"" << name
            << "\",\"healthPath\":\"/health\",\"connectionLimit\":1996,\"protocol\":\"h1\",\"tls\":false}";
        comma = ",";
    }
    out << "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
           "\"idleTimeoutMs\":15000}";
    if (!tenants.empty())
        out << ",\"tenants\":" << tenants;
    out << "}";
    return out.str();
}

// The version in a manifest that was read back; 0 if there is none.
inline long version_in(const std::string& manifest)
{
    const auto at = manifest.find("\"version\":");
    return at == std::string::npos ? 0 : std::atol(manifest.c_str() + at + 10);
}

// --- Servers.

// A server of a service: reports to control, serves one request at a time on a
// connection, and may crash and come back.
class server
{
public:
    using handler = std::function<bool(server&, connection&, const message&)>;

    server(
        const deployment& in,
        std::string own_ip,
        std::string own_id,
        std::string own_service,
        std::vector<deployment::machine*> control_machines,
        handler chosen)
        : site(in)
        , ip(std::move(own_ip))
        , id(std::move(own_id))
        , service(std::move(own_service))
        , control(std::move(control_machines))
        , serve(std::move(chosen))
    {
        this->open();
        this->reporter = std::thread([this] { this->report(); });
    }
    ~server()
    {
        this->stopping = true;
        this->crash(0);
        this->reporter.join();
        for (auto& worker : this->workers)
            worker.join();
    }
    server(const server&) = delete;

    // The process ends: the port is closed and all connections are reset. It is
    // back after some time, as a new incarnation with the same id.
    void crash(int back_ms)
    {
        const std::lock_guard lock(this->mutex);
        if (this->listener >= 0) {
            ::shutdown(this->listener, SHUT_RDWR);
            ::close(this->listener);
            this->listener = -1;
        }
        for (auto* peer : this->open_connections)
            peer->abort();
        this->back_at = clock::now() + ms(back_ms);
    }

    const deployment& site;
    const std::string ip;
    const std::string id;
    const std::string service;

private:
    void open()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int one = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const auto address = address_of(this->ip, this->site.server_port);
        if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(fd, 512) != 0)
            throw std::runtime_error("cannot listen at " + this->ip);
        this->born = std::chrono::duration_cast<ms>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
        this->sequence = 0;
        this->listener = fd;
        this->workers.emplace_back([this, fd] { this->accept(fd); });
    }
    void accept(int fd)
    {
        while (true) {
            const int peer = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (peer < 0)
                return;
            const std::lock_guard lock(this->mutex);
            if (this->listener != fd) {
                ::close(peer);
                return;
            }
            this->workers.emplace_back([this, peer] { this->run(peer); });
        }
    }
    void run(int fd)
    {
        connection peer(fd);
        {
            const std::lock_guard lock(this->mutex);
            this->open_connections.insert(&peer);
        }
        message request;
        while (!this->stopping && read_head(peer, request, clock::now() + ms(30000))) {
            const auto size = std::size_t(std::atoll(request.field("content-length").c_str()));
            if (!peer.read_exactly(request.body, size, clock::now() + ms(5000)) ||
                !this->serve(*this, peer, request))
                break;
            request = {};
        }
        const std::lock_guard lock(this->mutex);
        this->open_connections.erase(&peer);
    }
    void report()
    {
        std::size_t next = 0;
        while (!this->stopping) {
            std::string body;
            {
                const std::lock_guard lock(this->mutex);
                if (this->listener < 0 && clock::now() >= this->back_at)
                    this->open();
                if (this->listener >= 0)
                    body = "{\"service\":\"" + this->service + "\",\"address\":\"" + this->ip + ":" +
                           std::to_string(this->site.server_port) +
                           "\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":192,\"state\":\"ready\","
                           "\"coldRemainingMs\":0,\"sequence\":" +
                           std::to_string(++this->sequence) + ",\"born\":" + std::to_string(this->born) + "}";
            }
            for (std::size_t tries = 0; !body.empty() && tries < this->control.size(); ++tries) {
                const auto& to = *this->control[next++ % this->control.size()];
                if (call(to.ip, this->site.admin_port, "POST", "/v1/servers/" + this->id + "/report", body)
                        .status == 200)
                    break;
            }
            for (int i = 0; i < 24 && !this->stopping; ++i)
                sleep_ms(this->listener < 0 ? 10 : 50);
        }
    }

    std::vector<deployment::machine*> control;
    const handler serve;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::atomic<int> listener{-1};
    time_point back_at;
    long long born = 0;
    long sequence = 0;
    std::set<connection*> open_connections;
    std::vector<std::thread> workers;
    std::thread reporter;
};

inline std::string stream_head(const message& request)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.field("x-attempt-id") +
           "\r\nX-Server-Seal: 3e1b." + request.field("x-attempt-id") +
           "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunk(const std::string& text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

// Sends events from the one after `Last-Event-Id` on, one each `gap_ms`.
inline bool send_stream(connection& to, const message& request, int events, int gap_ms)
{
    if (!to.write(stream_head(request)))
        return false;
    for (int id = std::atoi(request.field("last-event-id").c_str()) + 1; id <= events; ++id) {
        if (!to.write(chunk("id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n")))
            return false;
        sleep_ms(gap_ms);
    }
    return to.write("0\r\n\r\n");
}

// --- Consumers.

struct stream_result {
    int status = 0;
    std::string retry_after;
    int events = 0;
    // The last chunk, or the whole body, has arrived.
    bool complete = false;
    // The channel was closed before.
    bool closed = false;
    double took_s = 0;
};

// Sends one request on a new channel and reads its answer until it is complete,
// the channel ends, or `limit_ms` have passed.
inline stream_result ask(
    const std::string& ip,
    int port,
    const std::string& target,
    const headers& fields,
    const std::string& body,
    int limit_ms)
{
    stream_result result;
    const auto start = clock::now();
    const auto finish = [&] {
        result.took_s = std::chrono::duration<double>(clock::now() - start).count();
        return result;
    };
    const int fd = connect_to(ip, port, 1000);
    if (fd < 0)
        return finish();
    connection peer(fd);
    const auto limit = start + ms(limit_ms);
    message head;
    if (!peer.write(request_text("POST", target, "desk.example", fields, body)) ||
        !read_head(peer, head, limit)) {
        result.closed = peer.ended;
        return finish();
    }
    result.status = std::atoi(head.first_line.c_str() + 9);
    result.retry_after = head.field("retry-after");
    if (head.field("transfer-encoding") != "chunked") {
        std::string rest;
        result.complete = peer.read_exactly(
            rest, std::size_t(std::atoll(head.field("content-length").c_str())), limit);
        result.closed = peer.ended;
        return finish();
    }
    std::string line;
    std::string text;
    while (peer.read_line(line, limit)) {
        const auto size = std::strtoul(line.c_str(), nullptr, 16);
        if (!peer.read_exactly(text, size + 2, limit))
            break;
        if (size == 0) {
            result.complete = true;
            break;
        }
        for (auto at = text.find("id: "); at != std::string::npos; at = text.find("id: ", at + 1))
            ++result.events;
    }
    result.closed = peer.ended;
    return finish();
}

inline std::string new_id()
{
    static std::atomic<std::uint64_t> next{std::uint64_t(getpid()) << 32};
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", (unsigned long long)++next);
    return text;
}

// Runs a case; `record.txt` is written in the folder that is named first.
inline int run_case(int argc, char** argv, const std::function<int()>& body)
{
    signal(SIGPIPE, SIG_IGN);
    try {
        record.open((argc > 1 ? std::string(argv[1]) : ".") + "/record.txt");
        record.line("trouble=%d", int(with_trouble()));
        const int result = body();
        record.line("%s", result == broken ? "the rule was broken" : result == held ? "the rule held" : "the case could not run");
        return result;
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "%s\n", failure.what());
        return cannot_run;
    }
}

} // namespace rig
