#include "tests/crowds/gateway_site.hpp"

#include "tests/harness/limited_descriptors.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/json.hpp>

namespace oleanderhinge::tests
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::size_t max_body = std::size_t(4) << 20;

std::string at(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string node_lines(const std::string& vm)
{
    return "[node]\nvm = " + vm +
           "\nregion = north\ndata_centre = a\n"
           "cluster_secret = secret-of-the-process-tests\n";
}

std::string table()
{
    const json::object route{
        {"name", "desk"},
        {"host", "desk.example"},
        {"pathPrefix", "/desk/"},
        {"kind", "safe"},
        {"timeoutMs", 20000},
        {"targetLatencyMs", 150},
        {"priority", 0},
        {"service", "desk"},
        {"attempts", 2},
        {"anonymous", false}};
    const json::object service{
        {"name", "desk"},
        {"healthPath", "/health"},
        {"connectionLimit", 260},
        {"protocol", "h1"},
        {"tls", false}};
    return json::serialize(json::object{
        {"version", 1},
        {"routes", json::array{route}},
        {"services", json::array{service}},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", max_body},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}}});
}

net::http_limits server_limits()
{
    net::http_limits limits;
    limits.body_bytes = max_body;
    return limits;
}

} // namespace

gateway_site::gateway_site(unsigned memory)
    : memory_mb(memory)
    , server(
          io,
          server_limits(),
          [this](net::http_request request, net::http_exchange& exchange)
              -> asio::awaitable<void> {
              co_await this->answer(request, exchange);
          })
{
}

gateway_site::~gateway_site()
{
    this->reporting.request_stop();
    if (this->reporting.joinable())
        this->reporting.join();
    this->io.stop();
}

asio::awaitable<void> gateway_site::answer(
    const net::http_request& request, net::http_exchange& exchange) const
{
    constexpr std::size_t large = 3'000'000;
    const std::string_view target = request.target();
    if (target == endless_answer) {
        co_await exchange.begin_stream(server_status, "");
        const std::string bytes(8192, 'x');
        while (co_await exchange.write_chunk(bytes)) {
        }
        co_return;
    }
    std::string body = target == large_answer ? std::string(large, 'x')
                                              : std::string("none here");
    co_await exchange.respond(server_status, "", std::move(body), {});
}

bool gateway_site::start(std::size_t descriptors)
{
    this->server_at = base::handle(
        [this] {
            return this->server.listen({"127.0.0.1", 0});
        },
        [](const base::error&) { return wire::endpoint{}; });
    this->serving = std::jthread([this] {
        const auto work = asio::make_work_guard(this->io);
        this->io.run();
    });
    this->start_control();
    {
        const limited_descriptors limit(descriptors);
        this->start_gateway();
    }
    const bool stored = wait_until([&] {
        return call(
                   this->admin,
                   {"POST",
                    "/v1/forwarding-table",
                    table(),
                    {{"Content-Type", "application/json"}}})
                   .status == 200;
    });
    this->reporting = std::jthread([this](const std::stop_token& stop) {
        std::size_t sequence = 0;
        while (!stop.stop_requested()) {
            this->report(++sequence);
            wait_until(
                [&] { return stop.stop_requested(); },
                std::chrono::milliseconds(300));
        }
    });
    return stored && wait_until([this] { return this->serves(); });
}

void gateway_site::start_control()
{
    const auto file = this->run.write(
        "control.ini",
        node_lines("127.0.0.1") + "data_folder = " + this->run.path("data") +
            "\n[control]\nseeds = " + at(this->admin) + "\n[link]\nlisten = " +
            at(this->links) + "\n[admin]\nlisten = " + at(this->admin) +
            "\ntoken = operators-only-token\n[management]\nlisten = " +
            at(processes::free_port()) + "\n");
    this->run.start("control", {"oleanderhinge-control", "--config", file});
}

void gateway_site::start_gateway()
{
    const auto file = this->run.write(
        "gateway.ini",
        node_lines("gateway") + "[gateway]\nlisten = " + at(this->callers) +
            "\nmemory = " + std::to_string(this->memory_mb) +
            "\n[control]\nseeds = " + at(this->admin) +
            "\nlink_port = " + std::to_string(this->links) +
            "\n[management]\nlisten = " + at(this->management) + "\n");
    this->run.start(gateway, {"oleanderhinge-gateway", "--config", file});
}

void gateway_site::report(std::size_t sequence) const
{
    const json::object body{
        {"service", "desk"},
        {"address", at(this->server_at.port)},
        {"zone", "a"},
        {"slots", 200},
        {"state", "ready"},
        {"sequence", sequence},
        {"born", 1767225600000}};
    call(
        this->admin,
        {"POST",
         "/v1/servers/desk-1/report",
         json::serialize(body),
         {{"Content-Type", "application/json"}}},
        std::chrono::seconds(10));
}

bool gateway_site::serves(const std::string& body) const
{
    return call(
               this->callers,
               {"POST", short_answer, body, {{"Host", "desk.example"}}},
               std::chrono::seconds(10))
               .status == server_status;
}

std::string gateway_site::head(const std::string& framing, const char* target)
{
    return std::string("POST ") + target +
           " HTTP/1.1\r\nHost: desk.example\r\n" + framing + "\r\n\r\n";
}

} // namespace oleanderhinge::tests
