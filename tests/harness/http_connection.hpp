// A blocking connection to a process on the loopback addresses, for several
// requests, which may be written piece by piece.
//
// Example:
//   http_connection to(port, std::chrono::seconds(10));
//   to.write(head) && to.write(body);
//   const auto reply = to.read();
#pragma once

#include "tests/harness/http.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace oleanderhinge::tests
{

class http_connection
{
public:
    http_connection(
        std::uint16_t port,
        std::chrono::milliseconds limit,
        const std::string& host = "127.0.0.1")
    {
        const boost::asio::ip::tcp::endpoint to(
            boost::asio::ip::make_address(host), port);
        this->allow(limit);
        this->is_open = !this->run(
            [&](auto done) { this->stream.async_connect(to, done); });
    }

    // Sets the time that what follows may take in all.
    void allow(std::chrono::milliseconds limit)
    {
        this->stream.expires_after(limit);
    }
    bool write(const std::string& bytes)
    {
        return !this->run([&](auto done) {
            boost::asio::async_write(
                this->stream, boost::asio::buffer(bytes), done);
        });
    }
    // `on_body` gets the parts of the body as they arrive.
    http_reply read(const std::function<void(const std::string&)>& on_body = {})
    {
        namespace http = boost::beast::http;
        http_reply reply;
        http::response_parser<http::string_body> parser;
        parser.body_limit(std::uint64_t(64) << 20);
        std::size_t seen = 0;
        bool failed = false;
        while (!parser.is_done() && !failed) {
            failed = bool(this->run([&](auto done) {
                http::async_read_some(this->stream, this->buffer, parser, done);
            }));
            const auto& body = parser.get().body();
            if (on_body && body.size() > seen)
                on_body(body.substr(seen));
            seen = body.size();
        }
        this->is_open = parser.is_done() && !failed && parser.keep_alive();
        if (!parser.is_header_done())
            return reply;
        reply.status = parser.get().result_int();
        reply.complete = parser.is_done();
        for (const auto& field : parser.get())
            reply.headers.emplace_back(field.name_string(), field.value());
        reply.body = parser.get().body();
        return reply;
    }

    // Whether the peer keeps the connection, as far as is known.
    bool is_open = false;

private:
    // Runs one asynchronous operation until it ends or the time is over.
    template <class Start>
    boost::system::error_code run(Start start)
    {
        boost::system::error_code result = boost::asio::error::timed_out;
        start([&](boost::system::error_code failed, auto&&...) {
            result = failed;
        });
        this->io.restart();
        this->io.run();
        return result;
    }

    boost::asio::io_context io;
    boost::beast::tcp_stream stream{io};
    boost::beast::flat_buffer buffer;
};

} // namespace oleanderhinge::tests
