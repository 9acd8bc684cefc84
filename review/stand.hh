// Stand-ins of the cases: processes, a proxy, HTTP servers and clients, and the
// record of what was sent, answered and run. Loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace stand
{

using clock_type = std::chrono::steady_clock;

inline double now_s()
{
    static const auto begin = clock_type::now();
    return std::chrono::duration<double>(clock_type::now() - begin).count();
}

inline void sleep_s(double s)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

// --- Record -----------------------------------------------------------------

class recorder
{
public:
    explicit recorder(const std::string& path, bool fresh = true)
    {
        if (fresh)
            ::unlink(path.c_str());
        // Several processes may append to it.
        this->file = std::fopen(path.c_str(), "a");
        if (this->file == nullptr) {
            std::perror(path.c_str());
            std::exit(2);
        }
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(this->mutex);
        std::fprintf(this->file, "%9.3f ", now_s());
        va_list values;
        va_start(values, format);
        std::vfprintf(this->file, format, values);
        va_end(values);
        std::fputc('\n', this->file);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    std::FILE* file = nullptr;
};

// --- Processes --------------------------------------------------------------

class process
{
public:
    // `descriptors`: limit on open files as on the machine; 0: the present one.
    process(
        std::vector<std::string> words,
        std::string log_path,
        rlim_t descriptors = 0)
        : arguments(std::move(words))
        , log(std::move(log_path))
        , max_descriptors(descriptors)
    {
        this->start();
    }
    ~process() { this->kill(); }
    process(const process&) = delete;

    void start()
    {
        std::vector<char*> argv;
        for (auto& word : this->arguments)
            argv.push_back(word.data());
        argv.push_back(nullptr);
        this->id = ::fork();
        if (this->id == 0) {
            // Ends with the thread that started it, whatever happens to that.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out =
                ::open(this->log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            for (int i = 3; i < 1024; ++i)
                ::close(i);
            if (this->max_descriptors != 0) {
                const rlimit limit{this->max_descriptors, this->max_descriptors};
                ::setrlimit(RLIMIT_NOFILE, &limit);
            }
            ::execv(argv[0], argv.data());
            ::_exit(127);
        }
    }
    void signal(int number) const
    {
        if (this->id > 0)
            ::kill(this->id, number);
    }
    void kill()
    {
        if (this->id <= 0)
            return;
        ::kill(this->id, SIGCONT);
        ::kill(this->id, SIGKILL);
        ::waitpid(this->id, nullptr, 0);
        this->id = 0;
    }
    // Whether it has ended by itself.
    bool ended()
    {
        if (this->id <= 0)
            return true;
        if (::waitpid(this->id, &this->status, WNOHANG) != this->id)
            return false;
        this->id = 0;
        return true;
    }
    int pid() const { return this->id; }
    int wait_status() const { return this->status; }

private:
    std::vector<std::string> arguments;
    std::string log;
    rlim_t max_descriptors;
    pid_t id = 0;
    int status = 0;
};

// --- Sockets ----------------------------------------------------------------

struct endpoint {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(const endpoint& at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(at.port));
    ::inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
    return address;
}

inline int listen_at(endpoint& at)
{
    const int s = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = to_sockaddr(at);
    if (::bind(s, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(s, 512) != 0) {
        std::perror(("listen " + at.text()).c_str());
        std::exit(2);
    }
    socklen_t size = sizeof address;
    ::getsockname(s, reinterpret_cast<sockaddr*>(&address), &size);
    at.port = ntohs(address.sin_port);
    return s;
}

// A port that is free on all the addresses; found below the range that the
// system gives to outgoing connections.
inline int free_port(const std::vector<std::string>& ips)
{
    static int next = 20000 + int(::getpid() * 37 % 8000);
    for (int tries = 0; tries < 4000; ++tries) {
        const int port = next++;
        if (next > 31000)
            next = 20000;
        bool ok = true;
        for (const auto& ip : ips) {
            const int s = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            auto address = to_sockaddr({ip, port});
            ok = ok && ::bind(
                           s,
                           reinterpret_cast<sockaddr*>(&address),
                           sizeof address) == 0;
            ::close(s);
        }
        if (ok)
            return port;
    }
    std::fprintf(stderr, "no free port\n");
    std::exit(2);
}

inline int connect_to(const endpoint& to, double timeout_s)
{
    const int s =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto address = to_sockaddr(to);
    if (::connect(s, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0) {
        pollfd p{s, POLLOUT, 0};
        int failed = 0;
        socklen_t size = sizeof failed;
        if (::poll(&p, 1, int(timeout_s * 1000)) != 1 ||
            ::getsockopt(s, SOL_SOCKET, SO_ERROR, &failed, &size) != 0 ||
            failed != 0) {
            ::close(s);
            return -1;
        }
    }
    return s;
}

inline bool send_all(int s, const std::string& bytes, double timeout_s = 5)
{
    std::size_t done = 0;
    const double end = now_s() + timeout_s;
    while (done < bytes.size()) {
        const auto n = ::send(
            s, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n > 0) {
            done += std::size_t(n);
            continue;
        }
        if (n < 0 && errno != EAGAIN && errno != EINTR)
            return false;
        pollfd p{s, POLLOUT, 0};
        const double left = end - now_s();
        if (left <= 0 || ::poll(&p, 1, int(left * 1000) + 1) < 0)
            return false;
    }
    return true;
}

// --- HTTP -------------------------------------------------------------------

struct message {
    std::string first_line;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    int status = 0; // answers
    std::string error; // answers: why there is none
    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? "" : found->second;
    }
    std::string target() const
    {
        const auto a = this->first_line.find(' ');
        const auto b = this->first_line.rfind(' ');
        return this->first_line.substr(a + 1, b - a - 1);
    }
    std::string method() const
    {
        return this->first_line.substr(0, this->first_line.find(' '));
    }
};

class reader
{
public:
    explicit reader(int socket)
        : s(socket)
    {
    }
    // False at the end, on an error or at the time limit.
    bool fill(double end)
    {
        while (true) {
            const double left = end - now_s();
            if (left <= 0) {
                this->why = "timeout";
                return false;
            }
            pollfd p{this->s, POLLIN, 0};
            const int ready = ::poll(&p, 1, int(left * 1000) + 1);
            if (ready == 0)
                continue;
            char bytes[16384];
            const auto n = ::recv(this->s, bytes, sizeof bytes, 0);
            if (n > 0) {
                this->text.append(bytes, std::size_t(n));
                return true;
            }
            if (n < 0 && (errno == EAGAIN || errno == EINTR))
                continue;
            this->why = n == 0 ? "closed" : std::strerror(errno);
            return false;
        }
    }
    bool line(std::string& out, double end)
    {
        std::size_t at = 0;
        while ((at = this->text.find("\r\n")) == std::string::npos)
            if (!this->fill(end))
                return false;
        out = this->text.substr(0, at);
        this->text.erase(0, at + 2);
        return true;
    }
    bool bytes(std::string& out, std::size_t count, double end)
    {
        while (this->text.size() < count)
            if (!this->fill(end))
                return false;
        out += this->text.substr(0, count);
        this->text.erase(0, count);
        return true;
    }
    bool head(message& to, double end)
    {
        if (!this->line(to.first_line, end))
            return false;
        std::string line;
        while (this->line(line, end) && !line.empty()) {
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = line.substr(0, colon);
            for (char& c : name)
                c = char(std::tolower(c));
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            auto& slot = to.headers[name];
            slot = slot.empty() ? value : slot + ", " + value;
        }
        return line.empty();
    }
    bool body(message& to, bool answer, double end)
    {
        if (to.header("transfer-encoding") == "chunked") {
            while (true) {
                std::string size;
                if (!this->line(size, end))
                    return false;
                const auto count = std::strtoul(size.c_str(), nullptr, 16);
                if (count == 0)
                    return this->line(size, end);
                if (!this->bytes(to.body, count, end) ||
                    !this->line(size, end))
                    return false;
            }
        }
        if (!to.header("content-length").empty())
            return this->bytes(
                to.body,
                std::strtoul(to.header("content-length").c_str(), nullptr, 10),
                end);
        if (!answer)
            return true;
        while (this->fill(end)) {
        }
        to.body += this->text;
        this->text.clear();
        return this->why == "closed";
    }
    std::string why;

private:
    int s;
    std::string text;
};

struct request {
    std::string method = "GET";
    std::string target = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

// One request on a new channel.
inline message ask(const endpoint& to, const request& what, double timeout_s)
{
    message answer;
    const double end = now_s() + timeout_s;
    const int s = connect_to(to, std::min(timeout_s, 1.0));
    if (s < 0) {
        answer.error = "connect";
        return answer;
    }
    std::string text = what.method + " " + what.target + " HTTP/1.1\r\n";
    bool has_host = false;
    for (const auto& [name, value] : what.headers) {
        text += name + ": " + value + "\r\n";
        has_host = has_host || name == "Host";
    }
    if (!has_host)
        text += "Host: " + to.text() + "\r\n";
    if (!what.body.empty() || what.method != "GET")
        text += "Content-Length: " + std::to_string(what.body.size()) + "\r\n";
    text += "Connection: close\r\n\r\n" + what.body;
    reader in(s);
    if (!send_all(s, text) || !in.head(answer, end) ||
        !in.body(answer, true, end))
        answer.error = in.why.empty() ? "broken" : in.why;
    ::close(s);
    const auto space = answer.first_line.find(' ');
    if (space != std::string::npos)
        answer.status = std::atoi(answer.first_line.c_str() + space);
    return answer;
}

// Serves each connection on a thread of its own. The handler writes the answer
// to the socket and returns whether the connection is kept.
class http_server
{
public:
    using handler = std::function<bool(int, const message&)>;
    http_server(endpoint at_in, handler serve_in)
        : at(at_in)
        , serve(std::move(serve_in))
    {
        this->listener = listen_at(this->at);
        std::thread([this] { this->accept(); }).detach();
    }
    endpoint at;

private:
    void accept()
    {
        while (true) {
            const int s = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (s < 0)
                continue;
            std::thread([this, s] {
                const int on = 1;
                ::setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                reader in(s);
                while (true) {
                    message got;
                    const double end = now_s() + 60;
                    if (!in.head(got, end) || !in.body(got, false, end) ||
                        !this->serve(s, got))
                        break;
                }
                ::close(s);
            }).detach();
        }
    }
    handler serve;
    int listener = -1;
};

inline std::string plain_answer(
    int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " S\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// --- Proxy ------------------------------------------------------------------

// Forwards connections. While cut, connections whose first bytes hold `mark`
// carry nothing in either direction and stay open, as behind a silent
// partition; new ones are accepted by the kernel and carry nothing.
class proxy
{
public:
    proxy(endpoint at_in, endpoint to_in, std::string mark_in)
        : at(at_in)
        , to(std::move(to_in))
        , mark(std::move(mark_in))
    {
        this->listener = listen_at(this->at);
        std::thread([this] { this->accept(); }).detach();
    }
    std::atomic<bool> cut{false};
    endpoint at;

private:
    void accept()
    {
        while (true) {
            const int s = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (s >= 0)
                std::thread([this, s] { this->carry(s); }).detach();
        }
    }
    void carry(int client)
    {
        const int server = connect_to(this->to, 1.0);
        if (server < 0) {
            const linger hard{1, 0};
            ::setsockopt(client, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            ::close(client);
            return;
        }
        const int on = 1;
        ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string seen;
        bool open = true;
        bool marked = false;
        // A connection that has lost bytes to the cut stays silent for good.
        bool lost = false;
        while (open) {
            pollfd p[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
            if (::poll(p, 2, 200) < 0)
                break;
            for (int i = 0; i < 2; ++i) {
                if (p[i].revents == 0)
                    continue;
                char bytes[65536];
                const auto n = ::recv(p[i].fd, bytes, sizeof bytes, 0);
                if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
                    open = false;
                    break;
                }
                if (n < 0)
                    continue;
                if (i == 0 && seen.size() < 4096) {
                    seen.append(bytes, std::size_t(n));
                    marked = seen.find(this->mark) != std::string::npos;
                }
                lost = lost || (marked && this->cut);
                if (!lost && !send_all(
                                 p[1 - i].fd, std::string(bytes, std::size_t(n))))
                    open = false;
            }
        }
        ::close(client);
        ::close(server);
    }
    endpoint to;
    std::string mark;
    int listener = -1;
};

// --- Settings ---------------------------------------------------------------

inline void write_file(const std::string& path, const std::string& text)
{
    std::FILE* f = std::fopen(path.c_str(), "w");
    if (f == nullptr) {
        std::perror(path.c_str());
        std::exit(2);
    }
    std::fwrite(text.data(), 1, text.size(), f);
    std::fclose(f);
}

// deploy/control.ini, filled in. `link` is where the node listens for links.
inline std::string control_ini(
    const std::string& ip,
    const std::string& zone,
    const std::string& data,
    const std::string& seeds,
    bool first_start,
    const endpoint& link,
    const endpoint& admin,
    const endpoint& management)
{
    return "[node]\nvm = " + ip + "\nregion = north\ndata_centre = " + zone +
           "\ncluster_secret = flipside-and-karvik-on-one-platform\n"
           "threads = 2\ndata_folder = " +
           data + "\n\n[control]\nseeds = " + seeds + "\nfirst_start = " +
           (first_start ? "true" : "false") +
           "\ntolerated_losses = 1\n\n[link]\nlisten = " + link.text() +
           "\nbandwidth = 1000\n\n[admin]\nlisten = " + admin.text() +
           "\ntoken = operators-of-this-platform\n\n[management]\nlisten = " +
           management.text() + "\ntimeline_events = 2048\n";
}

// deploy/gateway.ini, filled in.
inline std::string gateway_ini(
    const std::string& name,
    const std::string& zone,
    const std::string& seeds,
    int link_port,
    const endpoint& listen,
    const endpoint& ready,
    const endpoint& metrics)
{
    return "[node]\nvm = " + name + "\nregion = north\ndata_centre = " + zone +
           "\ncluster_secret = flipside-and-karvik-on-one-platform\n"
           "threads = 1\n\n[gateway]\nlisten = " +
           listen.text() + "\nkill_delay = 8s\n\n[control]\nseeds = " + seeds +
           "\nlink_port = " + std::to_string(link_port) +
           "\n\n[retries]\nshare = 0.2\nslack = 416\nwindow = 10s\n\n"
           "[management]\nlisten = " +
           ready.text() + "\nmetrics = " + metrics.text() + "\n";
}

// --- The operator and the reports of servers ---------------------------------

// Sends a call to the control nodes in turn, follows redirects, and goes on to
// the next node after a failure. The answer of the last try.
inline message call_control(
    const std::vector<endpoint>& nodes, const request& what, double for_s)
{
    message answer;
    const double end = now_s() + for_s;
    std::size_t next = 0;
    while (now_s() < end) {
        auto to = nodes[next++ % nodes.size()];
        for (int hop = 0; hop < 3; ++hop) {
            answer = ask(to, what, 1.0);
            if (answer.status != 307)
                break;
            const auto location = answer.header("location");
            const auto host = location.find("//") + 2;
            const auto colon = location.find(':', host);
            to = {location.substr(host, colon - host),
                  std::atoi(location.c_str() + colon + 1)};
        }
        if (answer.error.empty() && answer.status < 500 && answer.status != 307)
            return answer;
        sleep_s(0.2);
    }
    return answer;
}

inline std::uint64_t unix_ms()
{
    return std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count());
}

} // namespace stand
