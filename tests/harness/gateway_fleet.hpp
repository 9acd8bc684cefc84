// A control node, gateways, and backend servers inside the test, which are
// reported to control.
//
// Example:
//   gateway_fleet fleet(1, "memory = 56\n");
//   fleet.add_server("desk-1", answer, report);
//   ASSERT_TRUE(fleet.start(table));
#pragma once

#include "oleanderhinge/net/http_server.hpp"
#include "tests/harness/http.hpp"
#include "tests/harness/processes.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace oleanderhinge::tests
{

struct gateway_ports {
    std::uint16_t callers = processes::free_port();
    std::uint16_t management = processes::free_port();
};

// Makes the text of a report of an address and a sequence number.
using server_report =
    std::function<std::string(const std::string&, std::size_t)>;

class gateway_fleet
{
public:
    // `settings`: lines of the section [gateway].
    gateway_fleet(std::size_t gateway_count, std::string settings);
    ~gateway_fleet();
    gateway_fleet(const gateway_fleet&) = delete;
    gateway_fleet& operator=(const gateway_fleet&) = delete;

    // Before the start.
    void add_server(
        const std::string& name,
        net::http_handler handler,
        server_report report);
    // Returns whether control has stored the table. `descriptors`: limit of
    // each gateway.
    bool start(const std::string& table, std::size_t descriptors = 1024);
    void start_gateway(std::size_t gateway);
    // Whether control has stored the table.
    bool put(const std::string& table) const;
    // Name of the process.
    static std::string name(std::size_t gateway);

    const std::uint16_t admin = processes::free_port();
    const std::vector<gateway_ports> gateways;
    processes run;

private:
    struct server {
        std::string name;
        server_report report;
        std::unique_ptr<net::http_server> http;
        std::string address;
    };
    std::string
    settings_of(const std::string& vm, const std::string& lines) const;
    void report_servers(std::size_t sequence) const;

    const std::string settings;
    const std::uint16_t links = processes::free_port();
    boost::asio::io_context io;
    std::vector<server> servers;
    std::jthread serving;
    std::jthread reporting;
};

} // namespace oleanderhinge::tests
