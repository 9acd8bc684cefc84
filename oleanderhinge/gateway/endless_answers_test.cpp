// Guards against a gateway whose memory a faulty server fills.
#include "oleanderhinge/gateway/answer_memory.hpp"
#include "oleanderhinge/gateway/raw_answers_fixture_test.hpp"

#include <boost/asio/write.hpp>

#include <fstream>
#include <memory>
#include <unistd.h>

namespace oleanderhinge::gateway
{
namespace
{

using namespace test;
using asio::ip::tcp;
constexpr auto as_pair = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t megabyte = std::size_t(1) << 20;
// Requests at the same time, each of which gets bytes without end.
constexpr std::size_t request_count = 64;

// Writes `begin`, then `rest` again and again until the peer closes.
class endless_server
{
public:
    explicit endless_server(asio::io_context& context)
        : io(context)
        , acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        asio::co_spawn(this->io, this->accept(), asio::detached);
    }

    wire::endpoint address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    std::string begin;
    std::string rest;
    std::size_t open = 0;

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto [failed, socket] =
                co_await this->acceptor.async_accept(as_pair);
            if (failed)
                co_return;
            asio::co_spawn(
                this->io, this->serve(std::move(socket)), asio::detached);
        }
    }
    asio::awaitable<void> serve(tcp::socket socket)
    {
        ++this->open;
        std::string request(65536, ' ');
        co_await socket.async_read_some(asio::buffer(request), as_pair);
        co_await asio::async_write(socket, asio::buffer(this->begin), as_pair);
        for (bool failed = false; !failed;) {
            const auto [error, size] = co_await asio::async_write(
                socket, asio::buffer(this->rest), as_pair);
            failed = error.failed();
        }
        --this->open;
    }

    asio::io_context& io;
    tcp::acceptor acceptor;
};

// Bytes of this process in memory.
std::size_t resident_bytes()
{
    std::ifstream in("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    in >> total >> resident;
    return resident * std::size_t(::sysconf(_SC_PAGESIZE));
}

class endless_answers : public raw_answers_fixture
{
protected:
    // Sends requests side by side; their statuses. Notes the most memory.
    std::vector<unsigned> send_all(const std::string& target)
    {
        std::vector<unsigned> statuses;
        for (std::size_t i = 0; i < request_count; ++i)
            asio::co_spawn(
                this->io,
                [&, i]() -> asio::awaitable<void> {
                    net::http_client one(this->io, 0);
                    net::http_call call{
                        "POST",
                        target,
                        {{"Host", "127.0.0.1"},
                         {"Id", "r" + std::to_string(i)},
                         {"Key", "key"}},
                        "body"};
                    const auto outcome = co_await one.call(
                        this->address,
                        std::move(call),
                        std::chrono::seconds(60),
                        net::reuse::never);
                    statuses.push_back(outcome.answer.status);
                },
                asio::detached);
        const auto before = resident_bytes();
        for (int step = 0; statuses.size() < request_count; ++step) {
            this->io.run_one();
            if (step % 64 != 0)
                continue;
            const auto present = std::max(resident_bytes(), before);
            this->growth = std::max(this->growth, present - before);
        }
        return statuses;
    }

    endless_server server{this->io};
    std::size_t growth = 0;
};

struct endless_case {
    const char* name;
    const char* target;
    std::string begin;
    std::string rest;
    // The servers may have run the requests.
    unsigned status = 502;
};

const std::string plain_head = "HTTP/1.1 200 OK\r\nSeal: 1\r\n";
const std::string some_bytes(65536, 'x');
const std::string some_chunks = "4000\r\n" + std::string(16384, 'x') + "\r\n";

const endless_case endless_cases[] = {
    {"a status line", "/read/x", "HTTP/1.1 200 ", some_bytes},
    {"a field", "/read/x", plain_head + "Note: ", some_bytes},
    {"small fields", "/read/x", plain_head, "Note: x\r\n"},
    {"informational heads", "/read/x", "", "HTTP/1.1 103 Hints\r\n\r\n"},
    {"informational heads of a stream",
     "/talk/x",
     "",
     "HTTP/1.1 103 Hints\r\n\r\n"},
    {"no answer at all", "/read/x", "", some_bytes},
    {"a body without a length", "/read/x", plain_head + "\r\n", some_bytes},
    {"a body that may not be repeated",
     "/once/x",
     plain_head + "\r\n",
     some_bytes},
    {"a body without the server's mark",
     "/read/x",
     "HTTP/1.1 200 OK\r\n\r\n",
     some_bytes},
    {"the body of a failure",
     "/read/x",
     "HTTP/1.1 500 Failed\r\n\r\n",
     some_bytes},
    {"a body with a length",
     "/read/x",
     plain_head + "Content-Length: 9000000000\r\n\r\n",
     some_bytes},
    {"chunks",
     "/read/x",
     plain_head + "Transfer-Encoding: chunked\r\n\r\n",
     some_chunks},
    {"an extension of a chunk",
     "/read/x",
     plain_head + "Transfer-Encoding: chunked\r\n\r\n4;a=",
     some_bytes},
    {"an answer to another request",
     "/read/x",
     plain_head + "Id: other\r\n\r\n",
     some_bytes},
    {"an event", "/talk/x", plain_head + "\r\ndata: ", some_bytes},
    {"an event in chunks",
     "/talk/x",
     plain_head + "Transfer-Encoding: chunked\r\n\r\n",
     some_chunks},
    {"lines of an event", "/talk/x", plain_head + "\r\n", "data: x\n"},
    {"bytes behind a whole answer",
     "/read/x",
     plain_head + "Content-Length: 4\r\n\r\ndone",
     some_bytes,
     200},
};

// Guards against the end of a gateway that keeps all that a faulty server sends
// to some dozens of requests: the limit on one answer does not bound their sum.
TEST_F(endless_answers, memory_is_bounded_over_all_requests)
{
    // Half the memory of the smallest entry machines.
    constexpr std::size_t bound = 56 * megabyte;
    for (const auto& item : endless_cases) {
        this->selector.servers = {};
        this->selector.health.clear();
        ++this->selector.generation;
        this->add_server("second", "far", this->server.address());
        this->server.begin = item.begin;
        // Short pieces are written many at a time.
        this->server.rest.clear();
        while (this->server.rest.size() < some_bytes.size())
            this->server.rest += item.rest;
        this->growth = 0;
        for (const auto status : this->send_all(item.target))
            EXPECT_EQ(status, item.status) << item.name;
        EXPECT_LT(this->growth, bound) << item.name;
        // No server is left writing.
        while (this->server.open > 0)
            this->io.run_one();
    }
}

// Guards against short answers that find no room beside endless ones, and
// against memory that is not returned.
TEST(answer_memory, an_answer_may_hold_what_is_unused)
{
    answer_memory memory{.limit = 64 * megabyte};
    {
        std::vector<std::unique_ptr<answer_share>> endless;
        for (std::size_t i = 0; i < 192; ++i) {
            endless.push_back(std::make_unique<answer_share>(memory));
            std::size_t size = 0;
            while (endless.back()->resize(size + 8192))
                size += 8192;
            EXPECT_LE(memory.used, memory.limit);
        }
        answer_share usual(memory);
        EXPECT_TRUE(usual.resize(800));
        EXPECT_TRUE(usual.resize(0));
    }
    EXPECT_EQ(memory.used, 0U);
    answer_share large(memory);
    EXPECT_TRUE(large.resize(32 * megabyte));
    EXPECT_FALSE(large.resize(32 * megabyte + 1));
}

} // namespace
} // namespace oleanderhinge::gateway
