// Guards against clients that make an entry node use up its memory or
// descriptors.
#include "tests/crowds/bounds.hpp"
#include "tests/crowds/rows.hpp"
#include "tests/harness/fleet.hpp"
#include "tests/harness/limited_descriptors.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::tests
{
namespace
{

// Of the smallest machines.
constexpr std::size_t max_memory = 112'000'000;
constexpr std::size_t clients = 240;
// The limit of an entry node.
constexpr std::size_t body_bytes = std::size_t(1) << 20;

std::string post(const std::string& framing)
{
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
           "Authorization: Bearer " +
           std::string(fleet::customer_token) + "\r\n" + framing + "\r\n\r\n";
}

std::vector<crowd_row> rows()
{
    return body_rows(clients, body_bytes, post);
}

class entry_crowd : public testing::Test
{
protected:
    void start(std::size_t descriptors = 1024)
    {
        {
            const limited_descriptors limit(descriptors);
            this->f.start();
        }
        ASSERT_EQ(this->f.confirm(fleet::usual_intents()).status, 200U);
        ASSERT_TRUE(this->f.wait_serving(0));
    }

    void play(std::uint16_t port, const crowd_row& row)
    {
        crowd visitors(port);
        visitors.add(row.clients, row.script);
        EXPECT_TRUE(visitors.wait_sent()) << row.what;
        visitors.wait_read();
        expect_bounds(
            this->f.run, fleet::entry_name(0), this->bounds, row.what, [this] {
                return this->f.chat(0, "hello").complete;
            });
    }

    process_bounds bounds{.memory = max_memory};
    fleet f{{.control = 1, .entries = 1}};
};

class entry_crowd_rows : public entry_crowd,
                         public testing::WithParamInterface<std::size_t>
{
};

INSTANTIATE_TEST_SUITE_P(
    bodies, entry_crowd_rows, testing::Range(std::size_t(0), rows().size()));

TEST_P(entry_crowd_rows, memory_stays_in_bounds)
{
    this->start();
    this->play(this->f.entries[0].callers, rows()[this->GetParam()]);
}

TEST_P(entry_crowd_rows, memory_stays_in_bounds_at_the_management_port)
{
    this->start();
    this->play(this->f.entries[0].management, rows()[this->GetParam()]);
}

TEST_F(entry_crowd, connections_that_send_nothing)
{
    constexpr std::size_t descriptors = 256;
    this->start(descriptors);
    this->bounds.descriptors = 200;
    this->play(
        this->f.entries[0].callers, {"connections that send nothing", 400, {}});
}

TEST_F(entry_crowd, connections_to_the_management_port)
{
    constexpr std::size_t descriptors = 256;
    this->start(descriptors);
    this->bounds.descriptors = 200;
    this->play(
        this->f.entries[0].management,
        {"management, connections that send nothing", 400, {}});
}

TEST_F(entry_crowd, clients_that_read_no_answer)
{
    this->start();
    std::string many;
    for (int i = 0; i < 100; ++i)
        many += "GET /events HTTP/1.1\r\nHost: a\r\n\r\n";
    this->play(
        this->f.entries[0].management,
        {"management, answers are not read",
         clients,
         {.head = many, .reads = false}});
}

} // namespace
} // namespace oleanderhinge::tests
