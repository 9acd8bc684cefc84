// A model server ends. Its address goes to a server of another service, and then
// to a model server with a smaller accelerator.
#include "../stand.hh"

using namespace stand;

namespace
{

constexpr double layer_mb = 1750;
constexpr double reuse_after_s = 2;

const std::map<std::string, double> size_mb{{"a100", 72000}, {"v100", 14400}};

// Stands for the kind of a server of the plain service.
const std::string plain = "none";

std::string manifest()
{
    return "{\"version\":1,\"routes\":[{\"name\":\"talk\",\"host\":\"desk.example\","
           "\"pathPrefix\":\"/talk/\",\"kind\":\"streaming\",\"timeoutMs\":20000,"
           "\"targetLatencyMs\":500,\"priority\":0,\"service\":\"llm\","
           "\"attempts\":2,\"anonymous\":false,\"sticky\":true,\"resumable\":true,"
           "\"gapTargetMs\":250}],\"services\":[{\"name\":\"llm\",\"healthPath\":"
           "\"/health\",\"connectionLimit\":1996,\"protocol\":\"h1\",\"tls\":false,"
           "\"engine\":{\"slots\":192,\"kvCapacityTokens\":100000,\"kvBytes\":590000,"
           "\"linkMbps\":400000.0,\"stride\":4,\"models\":[{\"name\":\"m\",\"pace\":"
           "1.0,\"loadS\":14.0,\"warmS\":1.0}],\"step_ms\":1.02,\"per_seq_ms\":"
           "0.00459,\"context_per_k\":0.00615,\"read_per_s\":164000.0,"
           "\"pairs_per_m\":0.199,\"chunk\":512,\"report_lag_ms\":200.0,"
           "\"loadsPerS\":0.0,\"loads_at_once\":6,\"usual\":{\"prompt\":774,"
           "\"answer\":210},\"layers\":80,\"layerMb\":1750.0,\"activationBytes\":"
           "29500,\"pipeMbps\":19000.0,\"kinds\":[{\"name\":\"a100\",\"sizeMb\":"
           "72000.0,\"pace\":2.4,\"readFactor\":3.2},{\"name\":\"v100\",\"sizeMb\":"
           "14400.0,\"pace\":5.3,\"readFactor\":7.9}]}},{\"name\":\"desk\",\"healthPath\":"
           "\"/health\",\"connectionLimit\":260,\"protocol\":\"h1\",\"tls\":"
           "false}],\"limits\":{"
           "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
           "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

int number_after(const std::string& text, const std::string& name)
{
    const auto at = text.find("\"" + name + "\":");
    return at == std::string::npos
               ? -1
               : std::atoi(text.c_str() + at + name.size() + 3);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5)
        return 2;
    const std::string programs = argv[1];
    const std::string temporary = argv[3];
    const bool trouble = std::string(argv[4]) != "0";
    ::signal(SIGPIPE, SIG_IGN);
    now_s();
    recorder record(std::string(argv[2]) + "/record.txt");
    record.line("trouble=%d", int(trouble));

    const std::vector<std::string> core{"127.0.0.11", "127.0.0.12", "127.0.0.13"};
    const std::string side = "127.0.0.41";
    auto ips = core;
    ips.push_back(side);
    const int links = free_port(ips);
    const int admin = free_port(ips);
    const int pages = free_port(ips);
    std::string seeds;
    std::vector<endpoint> nodes;
    for (const auto& ip : core) {
        seeds += (seeds.empty() ? "" : ",") + endpoint{ip, admin}.text();
        nodes.push_back({ip, admin});
    }
    std::list<process> processes;
    for (std::size_t i = 0; i < core.size(); ++i) {
        const auto base = temporary + "/control" + std::to_string(i);
        write_file(
            base + ".ini",
            control_ini(
                core[i],
                "a",
                base + ".data",
                seeds,
                true,
                {core[i], links},
                {core[i], admin},
                {core[i], pages}));
        processes.emplace_back(
            std::vector<std::string>{
                programs + "/oleanderhinge-control", "--config", base + ".ini"},
            base + ".log");
    }

    // One machine with a model server; its process may end, and another may
    // start at its address.
    struct machine {
        std::unique_ptr<http_server> http;
        std::mutex mutex;
        std::string id;
        std::string kind;
        std::uint64_t born = 0;
        int sequence = 0;
        int orders = 0;
        int source = 0;
        int target = 0;
        bool up = true;
    };
    std::atomic<int> too_large{0};
    std::atomic<int> fitting{0};
    std::list<machine> machines;
    const auto layers_of = [](const machine& item) {
        return item.target > item.source
                   ? "[{\"source\":" + std::to_string(item.source) +
                         ",\"target\":" + std::to_string(item.target) +
                         ",\"version\":1}]"
                   : std::string("[]");
    };
    for (int i = 0; i < 6; ++i) {
        auto& made = machines.emplace_back();
        made.id = "i-" + std::to_string(i + 1);
        made.kind = "a100";
        made.born = unix_ms();
        auto* self = &made;
        made.http = std::make_unique<http_server>(
            endpoint{side, 0}, [&, self](int s, const message& got) {
                const std::lock_guard lock(self->mutex);
                if (!self->up)
                    return false;
                const auto expected = got.header("x-expect-instance");
                if (!expected.empty() && expected != self->id) {
                    send_all(s, plain_answer(421, {}, ""));
                    return true;
                }
                if (self->kind == plain) {
                    // The consumers of this service are not played.
                    send_all(s, plain_answer(404, {}, ""));
                    return true;
                }
                if (got.target() == "/api/order") {
                    const int source = number_after(got.body, "source");
                    const int target = number_after(got.body, "target");
                    const double needs = (target - source) * layer_mb;
                    const bool fits = needs <= size_mb.at(self->kind);
                    record.line(
                        "order server=%s kind=%s layers=%d-%d needs_mb=%.0f "
                        "size_mb=%.0f fits=%d",
                        self->id.c_str(),
                        self->kind.c_str(),
                        source,
                        target,
                        needs,
                        size_mb.at(self->kind),
                        int(fits));
                    ++(fits ? fitting : too_large);
                    ++self->orders;
                    if (!fits) {
                        // It crashes, and starts again empty a second later.
                        self->up = false;
                        return false;
                    }
                    self->source = source;
                    self->target = target;
                    send_all(s, plain_answer(202, {}, "{}"));
                    return true;
                }
                send_all(
                    s,
                    plain_answer(
                        200,
                        {{"Content-Type", "application/json"}},
                        "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":"
                        "1,\"adapters\":[]}],\"kind\":\"" +
                            self->kind + "\",\"layers\":" + layers_of(*self) +
                            ",\"busy\":false,\"sequence\":" +
                            std::to_string(self->orders) +
                            ",\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":"
                            "8000000,\"handles\":0,\"pace\":1.0}"));
                return true;
            });
    }
    std::atomic<bool> over{false};
    std::vector<std::thread> threads;
    for (auto& item : machines)
        threads.emplace_back([&] {
            while (!over) {
                std::string path;
                std::string body;
                {
                    const std::lock_guard lock(item.mutex);
                    path = item.up ? "/v1/servers/" + item.id + "/report" : "";
                    const std::string model =
                        item.kind == plain
                            ? ""
                            : ",\"stage\":\"both\",\"models\":[{\"name\":\"m\","
                              "\"version\":1,\"adapters\":[]}],\"kind\":\"" +
                                  item.kind + "\",\"layers\":" + layers_of(item);
                    body = std::string("{\"service\":\"") +
                           (item.kind == plain ? "desk" : "llm") +
                           "\",\"address\":\"" + item.http->at.text() +
                           "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":" +
                           (item.kind == plain ? "6" : "192") +
                           ",\"state\":\"ready\",\"coldRemainingMs\":0" + model +
                           ",\"born\":" + std::to_string(item.born) +
                           ",\"sequence\":" + std::to_string(++item.sequence) + "}";
                }
                if (!path.empty())
                    call_control(
                        nodes,
                        {"POST", path, {{"Content-Type", "application/json"}}, body},
                        1.0);
                for (int i = 0; i < 12 && !over; ++i)
                    sleep_s(0.1);
            }
        });
    const auto finish = [&](int code) {
        over = true;
        for (auto& item : threads)
            item.join();
        for (auto& item : processes)
            item.kill();
        record.line("exit=%d", code);
        std::_Exit(code);
    };
    const auto restart = [&](machine& item, const std::string& kind) {
        const std::lock_guard lock(item.mutex);
        item.id += "r";
        item.kind = kind;
        item.born = unix_ms();
        item.sequence = 0;
        item.orders = 0;
        item.source = item.target = 0;
        item.up = true;
        record.line("start server=%s kind=%s", item.id.c_str(), kind.c_str());
    };
    if (call_control(
            nodes,
            {"POST",
             "/v1/forwarding-table",
             {{"Content-Type", "application/json"}},
             manifest()},
            15)
            .status != 200)
        finish(2);
    sleep_s(15);
    for (auto& item : machines)
        record.line(
            "holds server=%s kind=%s layers=%d-%d",
            item.id.c_str(),
            item.kind.c_str(),
            item.source,
            item.target);
    // The machine with the most layers.
    auto& changed = *std::max_element(
        machines.begin(), machines.end(), [](const auto& left, const auto& right) {
            return left.target - left.source < right.target - right.source;
        });
    if (changed.target - changed.source <= 8)
        finish(2);
    const auto end = [&](machine& item) {
        const std::lock_guard lock(item.mutex);
        item.up = false;
        record.line("end server=%s kind=%s", item.id.c_str(), item.kind.c_str());
    };
    if (trouble) {
        end(changed);
        sleep_s(reuse_after_s + 1);
        restart(changed, plain);
        sleep_s(5);
        end(changed);
        sleep_s(reuse_after_s + 1);
        restart(changed, "v100");
    }
    const double begin = now_s();
    while (now_s() < begin + 20) {
        sleep_s(1);
        bool crashed = false;
        {
            const std::lock_guard lock(changed.mutex);
            crashed = !changed.up;
        }
        if (crashed)
            restart(changed, "v100");
    }
    for (auto& item : processes)
        if (item.ended())
            finish(2);
    record.line(
        "orders that fit=%d, that do not fit=%d", fitting.load(), too_large.load());
    finish(too_large > 0 ? 1 : 0);
}
