// Guards against an answer that is taken for the answer to the next request on
// a kept connection, since its server has sent it twice.
#include "oleanderhinge/net/http_client.hpp"

#include "oleanderhinge/net/raw_backend_test.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::net
{
namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using test::raw_backend;

std::string numbered_answer(int number)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
           std::to_string(number);
}

enum class second_copy : std::uint8_t { none, with_the_answer, later };

TEST(http_client, a_second_copy_of_an_answer_is_not_the_next_answer)
{
    struct row {
        second_copy when;
        int connections;
    };
    constexpr row rows[] = {
        {second_copy::none, 1},
        {second_copy::with_the_answer, 2},
        {second_copy::later, 2}};
    for (const auto& r : rows) {
        asio::io_context io;
        raw_backend server(io);
        for (const int number : {1, 2}) {
            const auto answer = numbered_answer(number);
            server.answers.push_back({answer});
            if (r.when == second_copy::with_the_answer)
                server.answers.back().bytes += answer;
        }
        http_client client(io, 1);
        std::vector<std::string> answers;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                for (const int number : {1, 2}) {
                    http_call call{"GET", "/", {}, ""};
                    const auto outcome = co_await client.call(
                        server.address(), std::move(call), 5s, reuse::allowed);
                    answers.push_back(outcome.answer.body);
                    if (r.when == second_copy::later)
                        server.write(numbered_answer(number));
                }
                io.stop();
            },
            asio::detached);
        io.run();
        EXPECT_EQ(answers, (std::vector<std::string>{"1", "2"}));
        EXPECT_EQ(server.connections, r.connections);
    }
}

// Guards against an answer to a call that needs a new connection and is taken
// for the answer to a later one.
TEST(http_client, a_connection_of_a_call_that_needs_a_new_one_is_not_kept)
{
    asio::io_context io;
    raw_backend server(io);
    server.answers = {{numbered_answer(1)}, {numbered_answer(2)}};
    http_client client(io, 1);
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            for (const auto connection : {reuse::never, reuse::allowed}) {
                http_call call{"GET", "/", {}, ""};
                co_await client.call(
                    server.address(), std::move(call), 5s, connection);
            }
            io.stop();
        },
        asio::detached);
    io.run();
    EXPECT_EQ(server.connections, 2);
}

} // namespace
} // namespace oleanderhinge::net
