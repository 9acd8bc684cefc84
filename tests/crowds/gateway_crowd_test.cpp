// Guards against clients that make a gateway use up its memory or descriptors.
#include "tests/crowds/bounds.hpp"
#include "tests/crowds/gateway_site.hpp"
#include "tests/crowds/rows.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace oleanderhinge::tests
{
namespace
{

constexpr unsigned memory_mb = 56;
constexpr std::size_t max_memory = memory_mb * std::size_t(1'000'000);
constexpr std::size_t clients = 60;
constexpr std::size_t body_bytes = std::size_t(4) << 20;

std::string post(const std::string& framing)
{
    return gateway_site::head(framing);
}

class gateway_crowd : public testing::Test
{
protected:
    void play(std::uint16_t port, const crowd_row& row)
    {
        crowd visitors(port);
        visitors.add(row.clients, row.script);
        EXPECT_TRUE(visitors.wait_sent()) << row.what;
        visitors.wait_read();
        expect_bounds(
            this->site.run,
            gateway_site::gateway,
            this->bounds,
            row.what,
            [this] { return this->site.serves(); });
    }

    void play(const crowd_row& row) { this->play(this->site.callers, row); }

    // Starts the gateway with few descriptors, of which some are to be left for
    // servers and control.
    bool start_with_few_descriptors()
    {
        constexpr std::size_t all = 256;
        constexpr std::size_t most = 200;
        this->bounds.descriptors = most;
        return this->site.start(all);
    }

    process_bounds bounds{.memory = max_memory};
    gateway_site site{memory_mb};
};

class gateway_crowd_rows : public gateway_crowd,
                           public testing::WithParamInterface<std::size_t>
{
};

std::vector<crowd_row> rows()
{
    return body_rows(clients, body_bytes, post);
}

INSTANTIATE_TEST_SUITE_P(
    bodies, gateway_crowd_rows, testing::Range(std::size_t(0), rows().size()));

TEST_P(gateway_crowd_rows, memory_stays_in_bounds)
{
    ASSERT_TRUE(this->site.start());
    this->play(rows()[this->GetParam()]);
}

TEST_P(gateway_crowd_rows, memory_stays_in_bounds_beside_answers_without_end)
{
    ASSERT_TRUE(this->site.start());
    crowd readers(this->site.callers);
    readers.add(
        clients / 4,
        {.head = gateway_site::head(
             "Content-Length: 0", gateway_site::endless_answer)});
    this->play(rows()[this->GetParam()]);
}

TEST_P(gateway_crowd_rows, memory_stays_in_bounds_during_a_drain)
{
    ASSERT_TRUE(this->site.start());
    const auto row = rows()[this->GetParam()];
    auto& run = this->site.run;
    {
        crowd visitors(this->site.callers);
        visitors.add(row.clients / 2, row.script);
        EXPECT_TRUE(visitors.wait_sent()) << row.what;
        run.signal(gateway_site::gateway, SIGTERM);
        visitors.add(row.clients / 2, row.script);
        EXPECT_TRUE(visitors.wait_sent()) << row.what;
        visitors.wait_read();
        const auto peak = run.peak_memory(gateway_site::gateway);
        EXPECT_LE(peak, max_memory) << row.what;
        std::printf("%s: %zu bytes\n", row.what, peak);
    }
    // It ends by itself, whether or not something was cut off.
    const int code = run.wait(gateway_site::gateway);
    EXPECT_TRUE(code == 0 || code == 3) << row.what << ": " << code;
}

TEST_F(gateway_crowd, a_large_body_is_served_in_calm)
{
    ASSERT_TRUE(this->site.start());
    EXPECT_TRUE(this->site.serves(std::string(body_bytes, 'a')));
    this->play({"one large body", 1, {}});
}

TEST_F(gateway_crowd, clients_that_read_no_answer)
{
    ASSERT_TRUE(this->site.start());
    std::string many;
    for (int i = 0; i < 100; ++i)
        many +=
            gateway_site::head("Content-Length: 0", gateway_site::large_answer);
    this->play(
        {"answers are not read", clients, {.head = many, .reads = false}});
}

TEST_F(gateway_crowd, clients_that_send_while_their_request_is_served)
{
    ASSERT_TRUE(this->site.start());
    this->play(
        {"bytes behind a request",
         clients,
         {.head = gateway_site::head(
              "Content-Length: 0", gateway_site::endless_answer),
          .piece = std::string(16384, 'a'),
          .pieces = 4}});
}

TEST_F(gateway_crowd, connections_that_send_nothing)
{
    ASSERT_TRUE(this->start_with_few_descriptors());
    this->play({"connections that send nothing", 400, {}});
}

TEST_F(gateway_crowd, connections_that_begin_a_head)
{
    ASSERT_TRUE(this->start_with_few_descriptors());
    this->play({"connections that begin a head", 400, {.head = "POST /"}});
}

TEST_F(gateway_crowd, connections_to_the_management_port)
{
    ASSERT_TRUE(this->start_with_few_descriptors());
    this->play(
        this->site.management,
        {"management, connections that begin a head",
         400,
         {.head = "GET /metrics"}});
}

class gateway_management_rows : public gateway_crowd_rows
{
};

std::string post_page(const std::string& framing)
{
    return "POST /metrics HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n";
}

std::vector<crowd_row> management_rows()
{
    constexpr std::size_t page_body = std::size_t(1) << 20;
    return body_rows(clients, page_body, post_page);
}

INSTANTIATE_TEST_SUITE_P(
    bodies,
    gateway_management_rows,
    testing::Range(std::size_t(0), management_rows().size()));

TEST_P(gateway_management_rows, memory_stays_in_bounds)
{
    ASSERT_TRUE(this->site.start());
    this->play(this->site.management, management_rows()[this->GetParam()]);
}

} // namespace
} // namespace oleanderhinge::tests
