#include "tests/crowds/gateway_site.hpp"

#include "tests/harness/desk_service.hpp"

namespace oleanderhinge::tests
{

namespace asio = boost::asio;

namespace
{

asio::awaitable<void>
answer(const net::http_request& request, net::http_exchange& exchange)
{
    constexpr std::size_t large = 3'000'000;
    const std::string_view target = request.target();
    if (target == gateway_site::endless_answer) {
        co_await exchange.begin_stream(gateway_site::server_status, "");
        const std::string bytes(8192, 'x');
        while (co_await exchange.write_chunk(bytes)) {
        }
        co_return;
    }
    std::string body = target == gateway_site::large_answer
                           ? std::string(large, 'x')
                           : std::string("none here");
    co_await exchange.respond(
        gateway_site::server_status, "", std::move(body), {});
}

} // namespace

gateway_site::gateway_site(unsigned memory_mb)
    : gateway_fleet(1, "memory = " + std::to_string(memory_mb) + "\n")
{
    this->add_server(
        "desk-1",
        [](net::http_request request, net::http_exchange& exchange)
            -> asio::awaitable<void> { co_await answer(request, exchange); },
        desk_report);
}

bool gateway_site::start(std::size_t descriptors)
{
    return this->gateway_fleet::start(desk_table(), descriptors) &&
           wait_until([this] { return this->serves(); });
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
