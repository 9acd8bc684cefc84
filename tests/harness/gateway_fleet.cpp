#include "tests/harness/gateway_fleet.hpp"

#include "tests/harness/limited_descriptors.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <utility>

namespace oleanderhinge::tests
{

namespace asio = boost::asio;

namespace
{

std::string at(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

net::http_limits server_limits()
{
    net::http_limits limits;
    limits.body_bytes = std::size_t(4) << 20;
    return limits;
}

http_reply post(
    std::uint16_t port,
    const std::string& target,
    const std::string& body,
    std::chrono::milliseconds limit)
{
    return call(
        port,
        {"POST", target, body, {{"Content-Type", "application/json"}}},
        limit);
}

} // namespace

gateway_fleet::gateway_fleet(std::size_t gateway_count, std::string lines)
    : gateways(gateway_count)
    , settings(std::move(lines))
{
}

gateway_fleet::~gateway_fleet()
{
    this->reporting = {};
    this->io.stop();
    this->serving = {};
}

std::string gateway_fleet::name(std::size_t gateway)
{
    return "gateway-" + std::to_string(gateway);
}

void gateway_fleet::add_server(
    const std::string& server_name,
    net::http_handler handler,
    server_report text)
{
    this->servers.push_back(
        {server_name,
         std::move(text),
         std::make_unique<net::http_server>(
             this->io, server_limits(), std::move(handler)),
         ""});
}

bool gateway_fleet::start(const std::string& table, std::size_t descriptors)
{
    for (auto& each : this->servers)
        each.address = base::handle(
            [&]() -> base::result<std::string> {
                BOOST_LEAF_AUTO(bound, each.http->listen({"127.0.0.1", 0}));
                return at(bound.port);
            },
            [](const base::error&) { return std::string(); });
    this->serving = std::jthread([this] {
        const auto work = asio::make_work_guard(this->io);
        this->io.run();
    });
    const auto file = this->run.write(
        "control.ini",
        this->settings_of(
            "127.0.0.1",
            "data_folder = " + this->run.path("data") + "\n[link]\nlisten = " +
                at(this->links) + "\n[admin]\nlisten = " + at(this->admin) +
                "\ntoken = operators-only-token\n[management]\nlisten = " +
                at(processes::free_port())));
    this->run.start("control", {"oleanderhinge-control", "--config", file});
    {
        const limited_descriptors limit(descriptors);
        for (std::size_t i = 0; i < this->gateways.size(); ++i)
            this->start_gateway(i);
    }
    const bool stored = wait_until([&] { return this->put(table); });
    this->reporting = std::jthread([this](const std::stop_token& stop) {
        for (std::size_t sequence = 1; !stop.stop_requested(); ++sequence) {
            this->report_servers(sequence);
            wait_until(
                [&] { return stop.stop_requested(); },
                std::chrono::milliseconds(300));
        }
    });
    return stored;
}

// The lines follow those of the section [node].
std::string gateway_fleet::settings_of(
    const std::string& vm, const std::string& lines) const
{
    return "[node]\nvm = " + vm +
           "\nregion = north\ndata_centre = a\n"
           "cluster_secret = secret-of-the-process-tests\n" +
           lines + "\n[control]\nseeds = " + at(this->admin) + "\n";
}

void gateway_fleet::start_gateway(std::size_t gateway)
{
    const auto& ports = this->gateways[gateway];
    const auto file = this->run.write(
        name(gateway) + ".ini",
        this->settings_of(
            name(gateway),
            "[gateway]\nlisten = " + at(ports.callers) + "\n" + this->settings +
                "[management]\nlisten = " + at(ports.management)) +
            "link_port = " + std::to_string(this->links) + "\n");
    this->run.start(name(gateway), {"oleanderhinge-gateway", "--config", file});
}

bool gateway_fleet::put(const std::string& table) const
{
    return post(
               this->admin,
               "/v1/forwarding-table",
               table,
               std::chrono::seconds(60))
               .status == 200;
}

void gateway_fleet::report_servers(std::size_t sequence) const
{
    for (const auto& each : this->servers)
        post(
            this->admin,
            "/v1/servers/" + each.name + "/report",
            each.report(each.address, sequence),
            std::chrono::seconds(10));
}

} // namespace oleanderhinge::tests
