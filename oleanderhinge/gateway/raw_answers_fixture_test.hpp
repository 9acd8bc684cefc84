// Answers written byte by byte, and a caller that sees how far each came. For
// tests only.
//
// Example:
//   this->use_raw_server(true);
//   this->raw.answers = {{unframed("200 OK", genuine, "done")}};
//   EXPECT_EQ(this->watch("/read/x").body, "done");
#pragma once

#include "oleanderhinge/gateway/forwarder_fixture_test.hpp"
#include "oleanderhinge/net/raw_backend_test.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>

namespace oleanderhinge::gateway::test
{

namespace http = boost::beast::http;
using net::test::after_answer;
using net::test::raw_answer;
using net::test::raw_backend;

inline const std::string genuine = "Id: r1\r\nSeal: 1\r\n";
inline const std::string event_2 = "id: 2\ndata: x\n\n";

inline std::string with_length(
    const std::string& status,
    const std::string& fields,
    const std::string& body)
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
           fields + "\r\n" + body;
}

inline std::string in_chunks(
    const std::string& status,
    const std::string& fields,
    const std::string& body)
{
    std::ostringstream size;
    size << std::hex << body.size();
    return "HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n" +
           fields + "\r\n" + size.str() + "\r\n" + body + "\r\n0\r\n\r\n";
}

// Neither a length nor chunks: the body ends with the connection.
inline std::string unframed(
    const std::string& status,
    const std::string& fields,
    const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "\r\n" + body;
}

struct caller_view {
    unsigned status = 0;
    std::string body;
    // The answer ended as HTTP says, and not by a closed connection.
    bool complete = false;
    // Number of the server's marks.
    std::size_t seals = 0;
};

class raw_answers_fixture : public forwarder_fixture
{
protected:
    raw_answers_fixture()
        : raw(io)
    {
    }

    // `raw` takes the place of the second server, or of both.
    void use_raw_server(bool alone)
    {
        this->selector.servers = {};
        this->selector.health.clear();
        ++this->selector.generation;
        if (!alone)
            this->add_server("first", "near", this->first);
        this->add_server("second", "far", this->raw.address());
        if (!alone)
            this->prefer_first_path();
        this->raw.answers.clear();
        this->raw.seen.clear();
    }

    // Shows also what came before the connection was closed.
    caller_view watch(const std::string& target)
    {
        caller_view view;
        bool done = false;
        asio::co_spawn(
            this->io,
            [&]() -> asio::awaitable<void> {
                constexpr auto as_pair = asio::as_tuple(asio::use_awaitable);
                asio::ip::tcp::socket socket(this->io);
                co_await socket.async_connect(
                    {asio::ip::address_v4::loopback(), this->address.port},
                    as_pair);
                net::http_request request(this->method, target, 11);
                request.set(http::field::host, "127.0.0.1");
                request.set("Id", this->request_id);
                request.set("Key", this->key);
                if (!this->last_event.empty())
                    request.set("After", this->last_event);
                request.body() = "body";
                request.prepare_payload();
                co_await http::async_write(socket, request, as_pair);
                boost::beast::flat_buffer buffer;
                http::response_parser<http::string_body> parser;
                parser.skip(this->method == http::verb::head);
                co_await http::async_read(socket, buffer, parser, as_pair);
                view = {
                    parser.get().result_int(),
                    parser.get().body(),
                    parser.is_done(),
                    parser.get().count("Seal")};
                done = true;
            },
            asio::detached);
        while (!done)
            this->io.run_one();
        return view;
    }

    raw_backend raw;
    http::verb method = http::verb::post;
    std::string last_event;
};

} // namespace oleanderhinge::gateway::test
