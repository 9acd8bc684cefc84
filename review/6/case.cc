// Streams that end with their connection, from a service whose servers hold no
// layers. A few break off inside an event: what do their callers get?
#include "../rig2.hh"

using namespace rig;

namespace
{

constexpr int events = 20;
constexpr double gap_s = 0.04;
constexpr int asked = 166;
// Between two requests, so that all are sent within 5 s.
constexpr double pause_s = 0.03;
// One answer in so many of one server of the three breaks off.
constexpr int one_in = 20;

std::string manifest()
{
    return R"({"version":7,"routes":[{"name":"tint","host":"desk.example","pathPrefix":"/tint/",)"
           R"("kind":"streaming","timeoutMs":20000,"targetLatencyMs":500,"priority":0,)"
           R"("service":"text","attempts":2,"anonymous":false,"sticky":true,"resumable":true,)"
           R"("gapTargetMs":250}],"services":[{"name":"text","healthPath":"/health",)"
           R"("connectionLimit":260,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,)"
           R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: word" + std::to_string(number) + "\n\n";
}

class server
{
public:
    server(std::string name, endpoint at, bool breaks_off)
        : id(std::move(name))
        , breaks(breaks_off)
        , http(std::move(at), [this](int fd, const message& from) { return this->serve(fd, from); })
    {
    }

    std::string report(std::uint64_t sequence) const
    {
        return R"({"service":"text","address":")" + text_of(this->http.at()) +
               R"(","zone":"zone-0","version":"v1","slots":192,"state":"ready","coldRemainingMs":0,)"
               R"("sequence":)" + std::to_string(sequence) + R"(,"born":)" + std::to_string(this->born) + "}";
    }

    const std::string id;

private:
    bool serve(int fd, const message& from)
    {
        const auto name = value_of(from.head, "X-Attempt-Id");
        if (value_of(from.head, "X-Expect-Instance") != this->id)
            return respond(fd, "421 Misdirected Request", {{"X-Attempt-Id", name}}, "");
        const bool broken = this->breaks && ++this->answers % one_in == 0;
        record.line("server %s runs %s%s", this->id.c_str(), name.c_str(), broken ? " and breaks off" : "");
        // Neither a length nor chunks: it ends with its connection.
        bool open = send_all(
            fd,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + name +
                "\r\nX-Server-Seal: seal-" + name + "\r\nConnection: close\r\n\r\n",
            now() + 5);
        const auto last = value_of(from.head, "Last-Event-Id");
        for (int i = last.empty() ? 1 : std::atoi(last.c_str()) + 1; open && i <= events; ++i) {
            sleep_for(gap_s);
            auto text = event(i);
            if (broken && i == events / 2) {
                // Ends inside the event.
                send_all(fd, text.substr(0, text.size() - 4), now() + 5);
                return false;
            }
            open = !has_left(fd) && send_all(fd, text, now() + 5);
        }
        return false;
    }

    const bool breaks;
    const std::uint64_t born = unix_ms();
    std::atomic<int> answers{0};
    listener http;
};

int run(bool trouble)
{
    deployment system(3);
    std::vector<std::unique_ptr<server>> servers;
    for (int i = 1; i <= 3; ++i)
        servers.push_back(
            std::make_unique<server>("i-text" + std::to_string(i), system.server_address(i), trouble && i == 1));
    system.start_all(true);
    if (system.ask_control("POST", "/v1/forwarding-table", manifest(), now() + 20) != 200)
        cannot_run("no ack for the manifest");
    std::atomic<bool> done{false};
    std::vector<std::thread> reporting;
    for (auto& each : servers)
        reporting.emplace_back([&, one = each.get()] {
            for (std::uint64_t sequence = 1; !done; ++sequence) {
                system.ask_control("POST", "/v1/servers/" + one->id + "/report", one->report(sequence), now() + 1);
                for (int i = 0; i < 12 && !done; ++i)
                    sleep_for(0.1);
            }
        });
    const auto finish = [&] {
        done = true;
        for (auto& thread : reporting)
            thread.join();
    };
    if (!system.all_ready(now() + 20)) {
        finish();
        cannot_run("the gateways are not ready");
    }
    sleep_for(3);
    std::string whole;
    for (int i = 1; i <= events; ++i)
        whole += event(i);
    std::atomic<int> good{0};
    std::atomic<int> broken{0};
    std::atomic<int> wrong{0};
    std::vector<std::thread> calls;
    for (int i = 0; i < asked; ++i) {
        calls.emplace_back([&, i] {
            const auto id = "t" + std::to_string(i);
            const auto got = call(
                system.gateway(std::size_t(i) % system.size()),
                {"POST",
                 "/tint/" + id,
                 {{"Host", "desk.example"},
                  {"X-Attempt-Id", id},
                  {"X-Model", "m"},
                  {"X-Token-Counts", "760,80"},
                  {"X-Prompt-Prefix", "5c1e07a2:40," + id + ":720"},
                  {"X-Deadline-Ms", "20000"}},
                 "note"},
                20);
            const bool looks_complete = got.status == 200 && got.complete;
            const bool is_whole = got.body == whole;
            good += looks_complete && is_whole;
            broken += !looks_complete;
            if (looks_complete && !is_whole) {
                ++wrong;
                record.line(
                    "request %s: 200, Content-Length %s, complete in HTTP, ends with \"%s\" instead of event %d",
                    id.c_str(),
                    value_of(got.head, "Content-Length").c_str(),
                    got.body.substr(got.body.rfind("id:")).substr(0, 20).c_str(),
                    events);
            } else {
                record.line("request %s: status %d, %s", id.c_str(), got.status, looks_complete ? "whole" : "broken off");
            }
        });
        sleep_for(pause_s);
    }
    for (auto& each : calls)
        each.join();
    finish();
    record.line(
        "of %d answers %d were whole, %d failed or broke off, %d looked complete without their last piece",
        asked,
        good.load(),
        broken.load(),
        wrong.load());
    if (good < asked / 2)
        cannot_run("the system did not serve");
    return wrong > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    record.open(argc > 1 ? argv[1] : "record.txt");
    const char* chosen = std::getenv("TROUBLE");
    try {
        const int result = run(chosen == nullptr || std::string(chosen) != "0");
        record.line("result %d", result);
        return result;
    } catch (const std::exception&) {
        return 2;
    }
}
