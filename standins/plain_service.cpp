// Stand-in for a plain service whose calls may not be repeated: POST /reserve
// books a part and GET /stock lists the bookings. Each booking is appended to
// the record file, so that a test can count what really ran.
#include "oleanderhinge/net/http_server.hpp"
#include "oleanderhinge/net/process.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <limits>
#include <map>
#include <mutex>
#include <string>

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
namespace net = oleanderhinge::net;
namespace wire = oleanderhinge::wire;
namespace base = oleanderhinge::base;

// Runs until a fault that is not wanted.
constexpr auto never = std::numeric_limits<std::uint64_t>::max();

struct options {
    std::string listen = "127.0.0.1:0";
    std::string record;
    std::uint32_t delay_ms = 0;
    std::uint64_t fail_after = never;
};

class service
{
public:
    explicit service(options chosen)
        : config(std::move(chosen))
    {
        if (!this->config.record.empty())
            this->record.open(this->config.record, std::ios::app);
    }

    asio::awaitable<void>
    handle(net::http_request request, net::http_exchange& exchange)
    {
        const std::string target(request.target());
        const std::string method(request.method_string());
        // A route may be served below a prefix.
        if (method == "POST" && target.ends_with("/reserve"))
            co_await this->reserve(request.body(), exchange);
        else if (method == "GET" && target.ends_with("/stock"))
            co_await exchange.respond(
                200, "application/json", json::serialize(this->stock()));
        else
            co_await exchange.respond(404, "text/plain", "no such resource\n");
    }

private:
    asio::awaitable<void>
    reserve(const std::string& body, net::http_exchange& exchange)
    {
        boost::system::error_code bad;
        const auto parsed = json::parse(body, bad);
        if (bad || !parsed.is_object() ||
            !parsed.as_object().contains("part") ||
            !parsed.as_object().at("part").is_string())
            co_return (void) co_await exchange.respond(
                400, "text/plain", "expected {\"part\": name}\n");
        const std::string part(parsed.as_object().at("part").as_string());
        const auto number = this->book(part);
        if (this->config.delay_ms > 0) {
            asio::steady_timer timer(
                co_await asio::this_coro::executor,
                std::chrono::milliseconds(this->config.delay_ms));
            co_await timer.async_wait(asio::use_awaitable);
        }
        // Fails after the booking took place, as a real service may.
        if (number > this->config.fail_after)
            co_return (void) co_await exchange.respond(
                500, "text/plain", "service failure\n");
        const json::object answer{{"reservation", number}, {"part", part}};
        co_await exchange.respond(
            201, "application/json", json::serialize(answer));
    }

    std::uint64_t book(const std::string& part)
    {
        const std::lock_guard lock(this->mutex);
        ++this->booked[part];
        const auto number = ++this->last_number;
        if (this->record.is_open())
            this->record << number << ' ' << part << std::endl;
        return number;
    }

    json::object stock()
    {
        const std::lock_guard lock(this->mutex);
        json::object parts;
        for (const auto& [part, count] : this->booked)
            parts[part] = count;
        return {{"reservations", this->last_number}, {"parts", parts}};
    }

    const options config;
    std::mutex mutex;
    std::map<std::string, std::uint64_t> booked;
    std::uint64_t last_number = 0;
    std::ofstream record;
};

options parse_command_line(int argc, char** argv)
{
    options chosen;
    CLI::App app("Stand-in for a plain service", "plain-service");
    app.add_option("--listen", chosen.listen, "address:port; port 0 chooses");
    app.add_option("--record", chosen.record, "file with a line for each run");
    app.add_option("--delay-ms", chosen.delay_ms, "from booking to answer");
    app.add_option("--fail-after", chosen.fail_after, "runs until it fails");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        std::exit(app.exit(e));
    }
    return chosen;
}

} // namespace

int main(int argc, char** argv)
{
    const auto chosen = parse_command_line(argc, argv);
    const auto colon = chosen.listen.rfind(':');
    const wire::endpoint local{
        chosen.listen.substr(0, colon),
        std::uint16_t(std::stoul(chosen.listen.substr(colon + 1)))};
    asio::io_context io;
    service backend(chosen);
    net::http_server server(
        io, {}, [&](net::http_request request, net::http_exchange& exchange) {
            return backend.handle(std::move(request), exchange);
        });
    const bool ok = base::handle(
        [&]() -> base::result<bool> {
            BOOST_LEAF_AUTO(bound, server.listen(local));
            std::cout << "listening on " << bound.address << ':' << bound.port
                      << std::endl;
            return true;
        },
        [](const base::error& e) {
            std::cerr << e.detail << '\n';
            return false;
        });
    if (!ok)
        return 1;
    return net::run_process(
        io,
        {.threads = 1,
         .drain_limit = std::chrono::seconds(5),
         .begin_drain = [&] { server.drain(); },
         .drained = [&] { return server.active() == 0; },
         .stop = [&] { server.shutdown(); }});
}
