// A gateway with a control node and one backend server, whose answer depends on
// the path of the request.
//
// Example:
//   gateway_site site(64);
//   ASSERT_TRUE(site.start());
//   EXPECT_TRUE(site.serves());
#pragma once

#include "oleanderhinge/net/http_server.hpp"
#include "tests/harness/http.hpp"
#include "tests/harness/processes.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

namespace oleanderhinge::tests
{

class gateway_site
{
public:
    // Status of all answers of the server, which the gateway passes on without
    // a mark of the server.
    static constexpr unsigned server_status = 410;
    static constexpr const char* short_answer = "/desk/short";
    // An answer of 3 MB.
    static constexpr const char* large_answer = "/desk/large";
    static constexpr const char* endless_answer = "/desk/endless";

    // `memory_mb`: the setting gateway.memory.
    explicit gateway_site(unsigned memory_mb);
    ~gateway_site();
    gateway_site(const gateway_site&) = delete;
    gateway_site& operator=(const gateway_site&) = delete;

    // Returns whether the gateway has an answer of the server.
    bool start(std::size_t descriptors = 1024);
    // Whether an ordinary request is answered by the server.
    bool serves(const std::string& body = "hello") const;
    // A request up to the body, whose length or coding the field states.
    static std::string
    head(const std::string& framing, const char* target = short_answer);

    static constexpr const char* gateway = "gateway";
    const std::uint16_t callers = processes::free_port();
    const std::uint16_t management = processes::free_port();
    const std::uint16_t admin = processes::free_port();
    processes run;

private:
    void start_control();
    void start_gateway();
    void report(std::size_t sequence) const;
    boost::asio::awaitable<void> answer(
        const net::http_request& request, net::http_exchange& exchange) const;

    const unsigned memory_mb;
    const std::uint16_t links = processes::free_port();
    boost::asio::io_context io;
    net::http_server server;
    wire::endpoint server_at;
    std::jthread serving;
    // Reports the server to control.
    std::jthread reporting;
};

} // namespace oleanderhinge::tests
