#include "tests/harness/http.hpp"

#include "tests/harness/http_connection.hpp"

#include <boost/asio/steady_timer.hpp>

#include <sstream>

namespace oleanderhinge::tests
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

std::string http_reply::header(const std::string& name) const
{
    for (const auto& [key, value] : this->headers)
        if (beast::iequals(key, name))
            return value;
    return {};
}

namespace
{

http::request<http::string_body> to_request(const http_query& query)
{
    http::request<http::string_body> request;
    request.method_string(query.method);
    request.target(query.target);
    request.version(11);
    request.set(http::field::host, query.host);
    request.set(http::field::connection, "close");
    for (const auto& [name, value] : query.headers)
        request.set(name, value);
    request.body() = query.body;
    request.prepare_payload();
    return request;
}

} // namespace

http_reply call(
    std::uint16_t port,
    const http_query& query,
    std::chrono::milliseconds limit,
    const std::function<void(const std::string&)>& on_body)
{
    http_connection to(port, limit, query.host);
    std::ostringstream bytes;
    bytes << to_request(query);
    if (!to.is_open || !to.write(bytes.str()))
        return {};
    return to.read(on_body);
}

bool wait_until(
    const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    asio::io_context io;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        asio::steady_timer timer(io, std::chrono::milliseconds(20));
        timer.wait();
    }
    return true;
}

} // namespace oleanderhinge::tests
