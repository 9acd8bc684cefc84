// A server ends its registration, goes on serving for some seconds and exits.
// Meanwhile all processes of the system are killed and come back, and one
// earlier report of that server arrives late.
#include "../rig2.hh"

using namespace rig;

namespace
{

constexpr double drain_s = 2;
constexpr double window_s = 3;
// The server exits this long after the ack.
constexpr double exit_s = 7.2;
// One booking.
constexpr double work_s = 0.3;

struct server {
    std::string id;
    std::uint64_t born = unix_ms();
    std::atomic<std::uint64_t> sequence{0};
    std::atomic<bool> reports{true};
    std::unique_ptr<listener> http;

    std::string report(std::uint64_t number) const
    {
        return R"({"service":"desk","address":")" + text_of(this->http->at()) +
               R"(","zone":"zone-0","version":"v1","slots":6,"state":"ready",)" +
               R"("coldRemainingMs":0,"sequence":)" + std::to_string(number) + R"(,"born":)" +
               std::to_string(this->born) + "}";
    }
};

struct arrival {
    std::string server;
    std::string request;
    double at = 0;
};

std::mutex arrivals_mutex;
std::vector<arrival> arrivals;

std::string manifest()
{
    return R"({"version":7,"routes":[{"name":"reserve","host":"desk.example","pathPrefix":"/desk/",)"
           R"("kind":"unsafe","timeoutMs":2500,"targetLatencyMs":150,"priority":0,"service":"desk",)"
           R"("attempts":2,"anonymous":false}],"services":[{"name":"desk","healthPath":"/health",)"
           R"("connectionLimit":260,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,)"
           R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

int run(bool trouble)
{
    deployment system(3);
    server first;
    server second;
    first.id = "i-first";
    second.id = "i-second";
    int number = 0;
    for (auto* each : {&first, &second})
        each->http = std::make_unique<listener>(
            system.server_address(++number), [each](int fd, const message& asked) {
                const auto id = value_of(asked.head, "X-Attempt-Id");
                if (value_of(asked.head, "X-Expect-Instance") != each->id)
                    return respond(
                        fd, "421 Misdirected Request", {{"X-Instance-Id", each->id}, {"X-Attempt-Id", id}}, "");
                {
                    const std::lock_guard lock(arrivals_mutex);
                    arrivals.push_back({each->id, id, now()});
                }
                record.line("server %s runs %s", each->id.c_str(), id.c_str());
                sleep_for(work_s);
                return each->http->is_alive() &&
                       respond(fd, "200 OK", {{"X-Attempt-Id", id}, {"X-Server-Seal", "seal-" + id}}, "booked");
            });
    system.start_all(true);
    if (system.ask_control("POST", "/v1/forwarding-table", manifest(), now() + 20) != 200)
        cannot_run("no ack for the manifest");
    std::atomic<bool> done{false};
    std::vector<std::thread> reporting;
    for (auto* each : {&first, &second})
        reporting.emplace_back([&, each] {
            while (!done && each->reports) {
                const auto sequence = ++each->sequence;
                system.ask_control(
                    "POST", "/v1/servers/" + each->id + "/report", each->report(sequence), now() + 1);
                for (int i = 0; i < 12 && !done && each->reports; ++i)
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

    std::atomic<bool> asking{true};
    std::mutex sent_mutex;
    std::map<std::string, double> sent;
    std::map<std::string, int> statuses;
    std::set<std::string> answered;
    std::thread consumers([&] {
        std::vector<std::thread> calls;
        for (int i = 0; asking; ++i) {
            const auto id = "a" + std::to_string(i);
            calls.emplace_back([&, i, id] {
                {
                    const std::lock_guard lock(sent_mutex);
                    sent[id] = now();
                }
                const auto got = call(
                    system.gateway(std::size_t(i) % system.size()),
                    {"POST",
                     "/desk/" + std::to_string(i),
                     {{"Host", "desk.example"}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "2500"}},
                     "coil"},
                    2.6);
                record.line("request %s via machine %d answered %d", id.c_str(), i % 3, got.status);
                const std::lock_guard lock(sent_mutex);
                ++statuses[std::to_string(got.status)];
                if (got.status == 200 && got.complete)
                    answered.insert(id);
            });
            sleep_for(0.05);
        }
        for (auto& each : calls)
            each.join();
    });
    sleep_for(1);

    // The last report before the end of the registration is the one that is
    // also delivered late.
    second.reports = false;
    reporting[1].join();
    reporting.erase(reporting.begin() + 1);
    const auto late = second.report(second.sequence);
    const auto left = "{\"born\":" + std::to_string(second.born) + "}";
    const int acked = system.ask_control("POST", "/v1/servers/i-second/leave", left, now() + 5);
    const double acked_at = now();
    record.line("i-second has ended its registration: %d", acked);
    if (acked != 200) {
        asking = false;
        consumers.join();
        finish();
        cannot_run("no ack for the end of the registration");
    }
    sleep_for(0.5);
    double touch_from = acked_at;
    if (trouble) {
        record.line("all processes are killed");
        system.run.kill(system.all_names());
        sleep_for(0.5);
        system.start_all(false);
        record.line("all processes are started again");
        touch_from = now() + window_s;
    } else {
        sleep_for(0.5);
    }
    sleep_until(acked_at + 3.8);
    const int taken =
        system.ask_control("POST", "/v1/servers/i-second/report", late, now() + 3);
    record.line("the earlier report of i-second arrives: %d", taken);
    sleep_until(acked_at + exit_s);
    record.line("i-second exits");
    second.http->crash();
    sleep_until(acked_at + 12);
    asking = false;
    consumers.join();
    finish();

    int late_arrivals = 0;
    int lost = 0;
    int served = 0;
    for (const auto& each : arrivals) {
        const double asked_at = sent[each.request];
        if (each.server == "i-first")
            ++served;
        else if (asked_at > acked_at + drain_s && asked_at > touch_from) {
            ++late_arrivals;
            lost += !answered.contains(each.request);
            record.line(
                "request %s reached i-second %.2f s after the ack, %s",
                each.request.c_str(),
                each.at - acked_at,
                answered.contains(each.request) ? "answered" : "lost");
        }
    }
    for (const auto& [status, count] : statuses)
        record.line("answers with %s: %d", status.c_str(), count);
    record.line(
        "bookings at i-first: %d; at i-second later than drainMs: %d, of which %d were lost",
        served,
        late_arrivals,
        lost);
    if (served < 20)
        cannot_run("the system did not serve");
    return late_arrivals > 0 ? 1 : 0;
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
