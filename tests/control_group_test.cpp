// A control group of three in a running deployment: its leader is killed,
// frozen and restarted while operators and callers go on.
#include "tests/harness/fleet.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <memory>

namespace oleanderhinge::tests
{
namespace
{

namespace json = boost::json;

class control_group : public testing::Test
{
protected:
    void begin(std::size_t entries)
    {
        this->f = std::make_unique<fleet>(
            fleet_options{.control = 3, .entries = entries, .services = 1});
        this->f->start();
        const auto reply = this->f->confirm(fleet::usual_intents());
        ASSERT_EQ(reply.status, 200U) << reply.body;
        for (std::size_t i = 0; i < entries; ++i)
            ASSERT_TRUE(this->f->wait_serving(i));
    }

    std::uint64_t revision()
    {
        const auto reply = this->f->admin({"GET", "/v1/routes", "", {}});
        return json::parse(reply.body)
            .at("revision")
            .to_number<std::uint64_t>();
    }

    // Revision in force at an entry node; 0 if it does not answer.
    std::uint64_t revision_at_entry(std::size_t i)
    {
        const auto reply =
            call(this->f->entries[i].management, {"GET", "/metrics", "", {}});
        const std::string name = "\noleanderhinge_entry_config_revision ";
        const auto at = reply.body.find(name);
        return at == std::string::npos
                   ? 0
                   : std::stoull(reply.body.substr(at + name.size()));
    }

    http_reply change(std::uint64_t number)
    {
        const json::array intents{json::object{
            {"op", "put_customer"},
            {"customer",
             {{"id", "site-" + std::to_string(number % 50)},
              {"credential_sha256", digest_of(number)},
              {"weight", number % 7 + 1}}}}};
        return this->f->confirm(json::serialize(intents));
    }

    static std::string digest_of(std::uint64_t number)
    {
        auto digits = std::to_string(number % 50);
        return std::string(64 - digits.size(), 'a') + digits;
    }

    std::unique_ptr<fleet> f;
};

// A killed leader must lose neither configuration nor claims, and the others
// must go on without it.
TEST_F(control_group, a_killed_leader_loses_nothing)
{
    this->begin(1);
    const auto booked = this->f->reserve(0, "order-1");
    ASSERT_EQ(booked.status, 201U) << booked.body;
    const auto before = this->revision();
    const auto leader = this->f->leader();
    ASSERT_LT(leader, 3U);
    this->f->run.kill(fleet::control_name(leader));
    const auto reply = this->change(1);
    EXPECT_EQ(reply.status, 200U) << reply.body;
    EXPECT_GT(this->revision(), before);
    // The claim is still known to the new leader.
    ASSERT_TRUE(wait_until(
        [&] { return this->f->reserve(0, "order-1").status == 201; }));
    EXPECT_EQ(this->f->bookings().size(), 1U);
    EXPECT_TRUE(wait_until(
        [&] { return this->revision_at_entry(0) == this->revision(); }));
}

// A frozen leader that wakes up must not answer with its old state; an entry
// node that it feeds must move on.
TEST_F(control_group, a_frozen_leader_that_wakes_reverts_nothing)
{
    this->begin(2);
    const auto leader = this->f->leader();
    ASSERT_LT(leader, 3U);
    this->f->run.signal(fleet::control_name(leader), SIGSTOP);
    EXPECT_TRUE(wait_until([&] { return this->f->leader() < 3; }));
    for (std::uint64_t i = 0; i < 5; ++i)
        EXPECT_EQ(this->change(i).status, 200U);
    const auto newest = this->revision();
    for (std::size_t i = 0; i < 2; ++i)
        EXPECT_TRUE(
            wait_until([&] { return this->revision_at_entry(i) >= newest; }));
    this->f->run.signal(fleet::control_name(leader), SIGCONT);
    EXPECT_EQ(this->change(9).status, 200U);
    EXPECT_GT(this->revision(), newest);
    for (std::size_t i = 0; i < 2; ++i)
        EXPECT_GE(this->revision_at_entry(i), newest);
}

// All control processes and an entry node restart after hundreds of changes;
// nothing that was confirmed may be lost.
TEST_F(control_group, hundreds_of_changes_survive_a_restart_of_all)
{
    this->begin(1);
    for (std::uint64_t i = 0; i < 300; ++i)
        ASSERT_EQ(this->change(i).status, 200U) << i;
    const auto before = this->revision();
    for (std::size_t i = 0; i < 3; ++i)
        this->f->run.kill(fleet::control_name(i));
    this->f->run.kill(fleet::entry_name(0));
    for (std::size_t i = 0; i < 3; ++i)
        this->f->start_control(i);
    this->f->start_entry(0);
    EXPECT_EQ(this->revision(), before);
    EXPECT_TRUE(this->f->wait_serving(0));
    EXPECT_EQ(this->revision_at_entry(0), before);
}

// Without a quorum nothing is confirmed or claimed, and callers learn that
// their reservation was not run.
TEST_F(control_group, without_a_quorum_reservations_are_refused_as_not_run)
{
    this->begin(1);
    const auto leader = this->f->leader();
    ASSERT_LT(leader, 3U);
    for (std::size_t i = 0; i < 3; ++i)
        if (i != leader)
            this->f->run.kill(fleet::control_name(i));
    ASSERT_TRUE(wait_until([&] { return this->f->leader() == 3; }));
    const auto reply = this->f->reserve(0, "order-2");
    EXPECT_EQ(reply.status, 503U);
    EXPECT_EQ(json::parse(reply.body).at("execution").as_string(), "not_run");
    EXPECT_TRUE(this->f->bookings().empty());
}

} // namespace
} // namespace oleanderhinge::tests
