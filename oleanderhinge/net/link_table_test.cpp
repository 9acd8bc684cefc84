// Guards against links that accept peers without the secret, stay open after a
// direction went silent, or let one hostile peer disturb others.
#include "oleanderhinge/net/link_table.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>

namespace oleanderhinge::net
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

// Largest time to wait for a state that is expected.
constexpr auto patience = 20s;

link_timing fast_timing()
{
    link_timing timing;
    timing.busy_heartbeat = 20ms;
    timing.busy_silence = 200ms;
    timing.idle_heartbeat = 50ms;
    timing.idle_silence = 400ms;
    timing.handshake = 500ms;
    return timing;
}

// Records what a table reports and lets a test wait for it.
class observed_table
{
public:
    observed_table(asio::io_context& io, std::string secret)
        : table(
              io,
              this->clock,
              make_options(std::move(secret)),
              {[this](link_id id, const wire::hello&) {
                   this->note([&] { this->last_opened = id; });
               },
               [this](link_id, wire::message m) {
                   this->note([&] { this->messages.push_back(std::move(m)); });
               },
               [this](link_id, close_reason reason, bool was_open) {
                   this->note([&] {
                       this->closed = reason;
                       this->closed_open = was_open;
                   });
               }})
    {
    }

    template <class Condition>
    bool wait_for(Condition condition)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, patience, condition);
    }

    std::optional<link_id> last_opened;
    std::vector<wire::message> messages;
    std::optional<close_reason> closed;
    bool closed_open = false;

private:
    static link_options make_options(std::string secret)
    {
        link_options options;
        options.cluster_secret = std::move(secret);
        options.timing = fast_timing();
        return options;
    }

    template <class Change>
    void note(Change change)
    {
        const std::lock_guard lock(this->mutex);
        change();
        this->changed.notify_all();
    }

    timeline::hybrid_clock clock;
    std::mutex mutex;
    std::condition_variable changed;

public:
    link_table table;
};

// Forwards bytes between two ends; each direction can be made to swallow them
// while both connections stay open.
class relay
{
public:
    relay(asio::io_context& io, std::uint16_t target)
        : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , left(io)
        , right(io)
        , port(this->acceptor.local_endpoint().port())
    {
        this->acceptor.async_accept(
            this->left, [this, target](boost::system::error_code failed) {
                if (failed)
                    return;
                this->right.connect({asio::ip::address_v4::loopback(), target});
                this->pump(this->left, this->right, this->up, swallow_up);
                this->pump(this->right, this->left, this->down, swallow_down);
            });
    }

    std::atomic<bool> swallow_up{false};
    std::atomic<bool> swallow_down{false};

private:
    using buffer = std::array<char, 4096>;

    void pump(
        tcp::socket& from,
        tcp::socket& to,
        buffer& data,
        std::atomic<bool>& off)
    {
        from.async_read_some(
            asio::buffer(data),
            [&, this](boost::system::error_code failed, std::size_t size) {
                boost::system::error_code ignored;
                // A connection that was forgotten on the way does not pass on
                // its end either.
                if (failed) {
                    if (!off)
                        to.close(ignored);
                    return;
                }
                if (!off)
                    asio::write(to, asio::buffer(data.data(), size), ignored);
                this->pump(from, to, data, off);
            });
    }

    tcp::acceptor acceptor;
    tcp::socket left;
    tcp::socket right;
    buffer up{};
    buffer down{};

public:
    const std::uint16_t port;
};

class link_table_test : public testing::Test
{
protected:
    link_table_test()
        : guard(asio::make_work_guard(this->io))
        , thread([this] { this->io.run(); })
    {
    }
    ~link_table_test() override
    {
        this->io.stop();
        if (this->thread.joinable())
            this->thread.join();
    }

    std::uint16_t listen(observed_table& table)
    {
        return base::handle(
            [&]() -> base::result<std::uint16_t> {
                BOOST_LEAF_AUTO(at, table.table.listen({"127.0.0.1", 0}));
                return at.port;
            },
            [](const base::error& e) -> std::uint16_t {
                ADD_FAILURE() << e.detail;
                return 0;
            });
    }

    observed_table& make_table(const char* secret)
    {
        return this->tables.emplace_back(this->io, secret);
    }

    // Tables and relays live until the thread has ended, since their callbacks
    // refer to them.
    asio::io_context io;
    std::deque<observed_table> tables;
    std::deque<relay> relays;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::thread thread;
};

TEST_F(link_table_test, messages_sent_before_the_handshake_arrive_in_order)
{
    auto& server = this->make_table("secret");
    auto& client = this->make_table("secret");
    const auto id = client.table.connect({"127.0.0.1", this->listen(server)});
    for (std::uint32_t i = 0; i < 100; ++i)
        client.table.send(id, wire::start_attempt{{}, base::attempt_number{i}});
    ASSERT_TRUE(server.wait_for([&] { return server.messages.size() == 100; }));
    for (std::uint32_t i = 0; i < 100; ++i)
        EXPECT_EQ(
            std::get<wire::start_attempt>(server.messages[i]).attempt.value(),
            i);
}

TEST_F(link_table_test, a_peer_without_the_secret_is_refused)
{
    auto& server = this->make_table("secret");
    auto& client = this->make_table("other");
    const auto id = client.table.connect({"127.0.0.1", this->listen(server)});
    client.table.send(id, wire::start_attempt{});
    ASSERT_TRUE(server.wait_for([&] { return server.closed.has_value(); }));
    EXPECT_FALSE(server.closed_open);
    EXPECT_TRUE(server.messages.empty());
    ASSERT_TRUE(client.wait_for([&] { return client.closed.has_value(); }));
    EXPECT_FALSE(client.closed_open);
}

// A listener that returns every byte must not pass as a member.
TEST_F(link_table_test, a_reflecting_peer_is_refused)
{
    tcp::acceptor mirror(
        this->io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket socket(this->io);
    std::array<char, 4096> data{};
    std::function<void()> reflect = [&] {
        socket.async_read_some(
            asio::buffer(data),
            [&](boost::system::error_code failed, std::size_t size) {
                boost::system::error_code ignored;
                if (failed)
                    return;
                asio::write(socket, asio::buffer(data.data(), size), ignored);
                reflect();
            });
    };
    mirror.async_accept(socket, [&](boost::system::error_code) { reflect(); });
    auto& client = this->make_table("secret");
    client.table.connect({"127.0.0.1", mirror.local_endpoint().port()});
    ASSERT_TRUE(client.wait_for([&] { return client.closed.has_value(); }));
    EXPECT_FALSE(client.closed_open);
    EXPECT_FALSE(client.last_opened.has_value());
    this->io.stop();
    this->thread.join();
}

TEST_F(link_table_test, links_that_go_silent_are_closed_and_replaced)
{
    struct fault {
        const char* name;
        bool up;
        bool down;
        bool busy;
    };
    const fault faults[] = {
        {"both directions, busy", true, true, true},
        {"towards the peer, busy", true, false, true},
        {"from the peer, busy", false, true, true},
        {"both directions, idle", true, true, false},
    };
    for (const auto& f : faults) {
        auto& server = this->make_table("secret");
        const auto port = this->listen(server);
        auto& between = this->relays.emplace_back(this->io, port);
        auto& client = this->make_table("secret");
        const auto id = client.table.connect({"127.0.0.1", between.port});
        ASSERT_TRUE(client.wait_for([&] {
            return client.last_opened.has_value();
        })) << f.name;
        client.table.set_busy(id, f.busy);
        between.swallow_up = f.up;
        between.swallow_down = f.down;
        client.table.send(id, wire::start_attempt{});
        ASSERT_TRUE(client.wait_for([&] { return client.closed.has_value(); }))
            << f.name;
        EXPECT_EQ(client.closed, close_reason::silent) << f.name;
        EXPECT_TRUE(client.closed_open) << f.name;
        client.last_opened.reset();
        client.table.connect({"127.0.0.1", port});
        EXPECT_TRUE(client.wait_for([&] {
            return client.last_opened.has_value();
        })) << f.name;
        client.table.shutdown();
        server.table.shutdown();
    }
}

TEST_F(link_table_test, malformed_bytes_close_only_their_own_link)
{
    auto& server = this->make_table("secret");
    const auto port = this->listen(server);
    auto& client = this->make_table("secret");
    const auto id = client.table.connect({"127.0.0.1", port});
    ASSERT_TRUE(
        client.wait_for([&] { return client.last_opened.has_value(); }));
    const std::string inputs[] = {
        "GET / HTTP/1.1\r\n\r\n",
        std::string(64, '\0'),
        // A header that announces 2 GiB before the handshake.
        std::string("OH\x01\x00\x00\x00\x00\x7f", 8) + std::string(8, '\0'),
    };
    for (const auto& input : inputs) {
        tcp::socket hostile(this->io);
        hostile.connect({asio::ip::address_v4::loopback(), port});
        asio::write(hostile, asio::buffer(input));
        // The server closes the connection.
        boost::system::error_code failed;
        std::array<char, 4096> data{};
        while (!failed)
            hostile.read_some(asio::buffer(data), failed);
    }
    client.table.send(id, wire::start_attempt{});
    EXPECT_TRUE(server.wait_for([&] { return server.messages.size() == 1; }));
    EXPECT_GE(server.table.counters().malformed, 3U);
}

} // namespace
} // namespace oleanderhinge::net
