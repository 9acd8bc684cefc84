#include "tests/harness/http.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace oleanderhinge::tests
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

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

// Runs one asynchronous operation until it ends or the stream's limit passes.
template <class Start>
boost::system::error_code run(asio::io_context& io, Start start)
{
    boost::system::error_code result = asio::error::timed_out;
    start(
        [&](boost::system::error_code failed, auto&&...) { result = failed; });
    io.restart();
    io.run();
    return result;
}

} // namespace

http_reply call(
    std::uint16_t port,
    const http_query& query,
    std::chrono::milliseconds limit,
    const std::function<void(const std::string&)>& on_body)
{
    http_reply reply;
    asio::io_context io;
    beast::tcp_stream stream(io);
    stream.expires_after(limit);
    if (run(io, [&](auto done) {
            stream.async_connect(
                tcp::endpoint(asio::ip::make_address(query.host), port), done);
        }))
        return reply;
    const auto request = to_request(query);
    if (run(io, [&](auto done) { http::async_write(stream, request, done); }))
        return reply;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::uint64_t(64) << 20);
    std::size_t seen = 0;
    while (!parser.is_done()) {
        const auto failed = run(io, [&](auto done) {
            http::async_read_some(stream, buffer, parser, done);
        });
        const auto& body = parser.get().body();
        if (on_body && body.size() > seen)
            on_body(body.substr(seen));
        seen = body.size();
        if (failed)
            break;
    }
    if (!parser.is_header_done())
        return reply;
    reply.status = parser.get().result_int();
    reply.complete = parser.is_done();
    for (const auto& field : parser.get())
        reply.headers.emplace_back(field.name_string(), field.value());
    reply.body = parser.get().body();
    return reply;
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
