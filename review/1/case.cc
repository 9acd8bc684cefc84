// A gateway is cut off from all control nodes for 40 s and then reached again.
#include "../stand.hh"

using namespace stand;

namespace
{

constexpr double cut_s = 40;
constexpr double touch_s = 3; // connectivityWindowMs
constexpr double apply_s = 2; // configApplyMs

std::string route(
    const std::string& name, const std::string& prefix, const std::string& to)
{
    return "{\"name\":\"" + name +
           "\",\"host\":\"desk.example\",\"pathPrefix\":\"" + prefix +
           "\",\"kind\":\"safe\",\"timeoutMs\":2500,\"targetLatencyMs\":150,"
           "\"priority\":0,\"service\":\"" +
           to + "\",\"attempts\":2,\"anonymous\":false}";
}

std::string manifest(int version, const std::string& routes)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
           routes +
           "],\"services\":[{\"name\":\"desk-old\",\"healthPath\":\"/health\","
           "\"connectionLimit\":260,\"protocol\":\"h1\",\"tls\":false},"
           "{\"name\":\"desk-new\",\"healthPath\":\"/health\","
           "\"connectionLimit\":260,\"protocol\":\"h1\",\"tls\":false}],"
           "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
           "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

} // namespace

int main(int argc, char** argv)
{
    // Arguments: folder of the programs, folder of the record, temporary folder,
    // 1 or 0 for the trouble.
    if (argc != 5)
        return 2;
    const std::string programs = argv[1];
    const std::string temporary = argv[3];
    const bool trouble = std::string(argv[4]) != "0";
    ::signal(SIGPIPE, SIG_IGN);
    now_s();
    recorder record(std::string(argv[2]) + "/record.txt");
    record.line("trouble=%d", int(trouble));

    // Addresses that control nodes are known by, where the proxies listen for
    // links, and those where the nodes themselves do.
    const std::vector<std::string> known{"127.0.0.11", "127.0.0.12", "127.0.0.13"};
    const std::vector<std::string> real{"127.0.0.21", "127.0.0.22", "127.0.0.23"};
    std::vector<std::string> ips = known;
    ips.insert(ips.end(), real.begin(), real.end());
    ips.push_back("127.0.0.31");
    ips.push_back("127.0.0.32");
    ips.push_back("127.0.0.41");
    const int links = free_port(ips);
    const int admin = free_port(ips);
    const int pages = free_port(ips);
    const int front = free_port(ips);
    const int ready = free_port(ips);
    const int metrics = free_port(ips);

    std::string seeds;
    std::vector<endpoint> control_nodes;
    for (const auto& ip : known) {
        seeds += (seeds.empty() ? "" : ",") + endpoint{ip, admin}.text();
        control_nodes.push_back({ip, admin});
    }
    std::list<proxy> proxies;
    for (std::size_t i = 0; i < known.size(); ++i)
        proxies.emplace_back(
            endpoint{known[i], links}, endpoint{real[i], links}, "edge-cut");
    std::list<process> processes;
    const std::vector<std::string> zones{"a", "b", "c"};
    for (std::size_t i = 0; i < known.size(); ++i) {
        const auto base = temporary + "/control" + std::to_string(i);
        write_file(
            base + ".ini",
            control_ini(
                known[i],
                zones[i],
                base + ".data",
                seeds,
                true,
                {real[i], links},
                {known[i], admin},
                {known[i], pages}));
        processes.emplace_back(
            std::vector<std::string>{
                programs + "/oleanderhinge-control", "--config", base + ".ini"},
            base + ".log");
    }
    const std::vector<std::string> names{"edge-cut", "edge-other"};
    const std::vector<endpoint> fronts{{"127.0.0.31", front}, {"127.0.0.32", front}};
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto base = temporary + "/" + names[i];
        write_file(
            base + ".ini",
            gateway_ini(
                names[i],
                zones[i],
                seeds,
                links,
                fronts[i],
                {fronts[i].ip, ready},
                {fronts[i].ip, metrics}));
        processes.emplace_back(
            std::vector<std::string>{
                programs + "/oleanderhinge-gateway", "--config", base + ".ini"},
            base + ".log");
    }

    // Two services with one server each, which report every 1.2 s.
    struct server {
        std::string service;
        std::string id;
        std::unique_ptr<http_server> http;
    };
    std::vector<server> servers;
    for (const std::string service : {"desk-old", "desk-new"}) {
        const std::string id = "i-" + service;
        auto serve = [service, id, &record](int s, const message& got) {
            const auto expected = got.header("x-expect-instance");
            const auto request_id = got.header("x-attempt-id");
            if (!expected.empty() && expected != id) {
                send_all(s, plain_answer(421, {{"X-Attempt-Id", request_id}}, ""));
                return true;
            }
            record.line(
                "run request=%s by=%s target=%s",
                request_id.c_str(),
                service.c_str(),
                got.target().c_str());
            send_all(
                s,
                plain_answer(
                    200,
                    {{"X-Attempt-Id", request_id},
                     {"X-Server-Seal", "seal." + request_id}},
                    service));
            return true;
        };
        servers.push_back(
            {service,
             id,
             std::make_unique<http_server>(endpoint{"127.0.0.41", 0}, serve)});
    }
    const auto born = unix_ms();
    std::atomic<bool> over{false};
    std::vector<std::thread> reporters;
    for (const auto& item : servers)
        reporters.emplace_back([&, born] {
            for (int sequence = 1; !over; ++sequence) {
                const std::string body =
                    "{\"service\":\"" + item.service + "\",\"address\":\"" +
                    item.http->at.text() +
                    "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,"
                    "\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":" +
                    std::to_string(born) +
                    ",\"sequence\":" + std::to_string(sequence) + "}";
                call_control(
                    control_nodes,
                    {"POST",
                     "/v1/servers/" + item.id + "/report",
                     {{"Content-Type", "application/json"}},
                     body},
                    1.0);
                for (int i = 0; i < 12 && !over; ++i)
                    sleep_s(0.1);
            }
        });

    const auto put = [&](int version, const std::string& routes) {
        const auto answer = call_control(
            control_nodes,
            {"POST",
             "/v1/forwarding-table",
             {{"Content-Type", "application/json"}},
             manifest(version, routes)},
            15);
        record.line(
            "manifest version=%d status=%d error=%s",
            version,
            answer.status,
            answer.error.c_str());
        return answer.status == 200;
    };
    int last_request = 0;
    const auto consume = [&](const std::string& who,
                             const endpoint& at,
                             const std::string& target) {
        const auto id = "q" + std::to_string(++last_request);
        record.line(
            "sent request=%s to=%s target=%s", id.c_str(), who.c_str(), target.c_str());
        const auto answer = ask(
            at,
            {"GET",
             target,
             {{"Host", "desk.example"},
              {"X-Attempt-Id", id},
              {"X-Deadline-Ms", "2500"}},
             ""},
            2.5);
        record.line(
            "answered request=%s status=%d body=%s error=%s",
            id.c_str(),
            answer.status,
            answer.status == 200 ? answer.body.c_str() : "",
            answer.error.c_str());
        return answer;
    };
    const auto finish = [&](int code) {
        over = true;
        for (auto& item : reporters)
            item.join();
        for (auto& item : processes)
            item.kill();
        record.line("exit=%d", code);
        std::_Exit(code);
    };

    // The first manifest: /one/ belongs to desk-old.
    if (!put(1, route("one", "/one/", "desk-old")))
        finish(2);
    const double limit = now_s() + 20;
    while (true) {
        bool all = true;
        for (std::size_t i = 0; i < names.size(); ++i)
            all = all && consume(names[i], fronts[i], "/one/x").body == "desk-old";
        if (all)
            break;
        if (now_s() > limit)
            finish(2);
        sleep_s(0.5);
    }
    sleep_s(3);

    // The cut. The manifest moves /one/ to desk-new and adds /two/ meanwhile.
    if (trouble)
        for (auto& item : proxies)
            item.cut = true;
    record.line("cut begins");
    sleep_s(cut_s - 6);
    if (!put(
            2,
            route("one", "/one/", "desk-new") + "," +
                route("two", "/two/", "desk-new")))
        finish(2);
    sleep_s(6);
    for (auto& item : proxies)
        item.cut = false;
    record.line("cut ends");

    // The gateway is in touch again 3 s after it; the bound of the manifest has
    // passed then, too. 5 s more are waited.
    sleep_s(touch_s + apply_s + 5);
    int broken = 0;
    int other_broken = 0;
    int asked = 0;
    for (int i = 0; i < 20; ++i) {
        for (std::size_t n = 0; n < names.size(); ++n) {
            const auto one = consume(names[n], fronts[n], "/one/x");
            const auto two = consume(names[n], fronts[n], "/two/x");
            const int old = int(one.status == 200 && one.body == "desk-old") +
                            int(two.status == 404);
            (n == 0 ? broken : other_broken) += old;
            asked += 2;
        }
        sleep_s(0.5);
    }
    const auto ready_now =
        ask({fronts[0].ip, ready}, {"GET", "/readyz", {}, ""}, 1.0).status;
    for (auto& item : processes)
        if (item.ended()) {
            record.line("a process ended by itself");
            finish(2);
        }
    record.line(
        "asked=%d handled_as_version_1: edge-cut=%d edge-other=%d "
        "edge-cut_ready=%d",
        asked,
        broken,
        other_broken,
        ready_now);
    finish(broken + other_broken > 0 ? 1 : 0);
}
