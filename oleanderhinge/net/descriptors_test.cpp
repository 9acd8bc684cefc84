// Guards against a process that runs out of descriptors, or spins when it has.
#include "oleanderhinge/net/http_client.hpp"
#include "oleanderhinge/net/http_server.hpp"
#include "oleanderhinge/net/link_table.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <fcntl.h>
#include <functional>
#include <memory>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

namespace oleanderhinge::net
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto wait_limit = 20s;

// Takes all descriptors of this process but one.
class full_process
{
public:
    full_process()
    {
        ::getrlimit(RLIMIT_NOFILE, &this->before);
        auto smaller = this->before;
        constexpr rlim_t few = 256;
        smaller.rlim_cur = few;
        ::setrlimit(RLIMIT_NOFILE, &smaller);
        for (int file = 0; file >= 0;) {
            file = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
            if (file >= 0)
                this->files.push_back(file);
        }
        this->free_one();
    }
    ~full_process()
    {
        while (!this->files.empty())
            this->free_one();
        ::setrlimit(RLIMIT_NOFILE, &this->before);
    }
    full_process(const full_process&) = delete;
    full_process& operator=(const full_process&) = delete;

    void free_one()
    {
        ::close(this->files.back());
        this->files.pop_back();
    }

private:
    rlimit before{};
    std::vector<int> files;
};

wire::endpoint
listen_at(const std::function<base::result<wire::endpoint>()>& listen)
{
    return base::handle(listen, [](const base::error& e) -> wire::endpoint {
        ADD_FAILURE() << e.detail;
        return {};
    });
}

http_handler answer_all()
{
    return [](http_request, http_exchange& exchange) -> asio::awaitable<void> {
        co_await exchange.respond(200, "", "done");
    };
}

// Connects to a listener of a process without descriptors. Few events may be
// handled until there are some again, and the connection is accepted then.
void expect_patient(
    asio::io_context& io,
    const wire::endpoint& at,
    const std::function<bool()>& has_accepted)
{
    auto full = std::make_unique<full_process>();
    tcp::socket client(io);
    client.connect({asio::ip::make_address(at.address), at.port});
    constexpr std::size_t few_events = 100;
    EXPECT_LT(io.run_for(500ms), few_events);
    EXPECT_FALSE(has_accepted());
    full.reset();
    io.restart();
    const auto limit = std::chrono::steady_clock::now() + wait_limit;
    while (!has_accepted() && std::chrono::steady_clock::now() < limit)
        io.run_one_for(100ms);
    EXPECT_TRUE(has_accepted());
}

// Guards against a server that uses a whole core while it has no descriptors.
TEST(descriptors, a_server_waits_for_a_free_one)
{
    asio::io_context io;
    http_server server(io, {}, answer_all());
    const auto at = listen_at([&] { return server.listen({"127.0.0.1", 0}); });
    expect_patient(io, at, [&] { return server.connections() > 0; });
    server.shutdown();
}

// The same for links between our processes.
TEST(descriptors, a_link_table_waits_for_a_free_one)
{
    asio::io_context io;
    timeline::hybrid_clock clock;
    link_table links(
        io,
        clock,
        {},
        {[](link_id, const wire::hello&) {},
         [](link_id, const wire::message&) {},
         [](link_id, close_reason, bool) {}});
    const auto at = listen_at([&] { return links.listen({"127.0.0.1", 0}); });
    expect_patient(io, at, [&] { return links.size() > 0; });
    links.shutdown();
}

// Guards against connections to replaced servers that are kept for good, since
// only a call to the same address would drop them.
TEST(descriptors, a_client_drops_connections_to_servers_without_calls)
{
    asio::io_context io;
    http_server replaced(io, {}, answer_all());
    http_server present(io, {}, answer_all());
    const auto first = listen_at([&] {
        return replaced.listen({"127.0.0.1", 0});
    });
    const auto second = listen_at([&] {
        return present.listen({"127.0.0.1", 0});
    });
    http_client client(io, 1);
    const auto call = [&](const wire::endpoint& to) {
        bool done = false;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                http_call request;
                co_await client.call(
                    to, std::move(request), 5s, reuse::allowed);
                done = true;
            },
            asio::detached);
        while (!done)
            io.run_one();
    };
    call(first);
    EXPECT_EQ(replaced.connections(), 1U);
    const auto limit = std::chrono::steady_clock::now() + wait_limit;
    while (replaced.connections() > 0 &&
           std::chrono::steady_clock::now() < limit) {
        call(second);
        io.run_for(100ms);
        io.restart();
    }
    EXPECT_EQ(replaced.connections(), 0U);
}

} // namespace
} // namespace oleanderhinge::net
