// A control group that finds itself by seeds: it grows to the size that its
// tolerated losses need, bears them, and forms although a node is killed at the
// first start. Nodes are named by addresses of the loopback network.
#include "tests/harness/http.hpp"
#include "tests/harness/processes.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <filesystem>

namespace oleanderhinge::tests
{
namespace
{

namespace json = boost::json;

constexpr const char* admin_token = "operators-only-token";

class control_size : public testing::Test
{
protected:
    static std::string address_of(std::size_t i)
    {
        return "127.0.0." + std::to_string(11 + i);
    }

    static std::string name_of(std::size_t i)
    {
        return "control-" + std::to_string(i);
    }

    std::string folder_of(std::size_t i) const
    {
        return this->run.path(name_of(i) + ".data");
    }

    void start(std::size_t i, bool first_start)
    {
        const auto at = [&](std::size_t node, std::uint16_t port) {
            return address_of(node) + ":" + std::to_string(port);
        };
        const auto file = this->run.write(
            name_of(i) + ".ini",
            "[node]\nvm = " + address_of(i) +
                "\nregion = scotland\ndata_centre = glasgow\n"
                "cluster_secret = secret-of-the-process-tests\n"
                "data_folder = " +
                this->folder_of(i) +
                "\n[control]\nseeds = " + at(0, this->admin) + ", " +
                at(1, this->admin) + ", " + at(2, this->admin) +
                "\nfirst_start = " + (first_start ? "true" : "false") +
                "\ntolerated_losses = 2\n[link]\nlisten = " +
                at(i, this->link) + "\n[admin]\nlisten = " +
                at(i, this->admin) + "\ntoken = " + admin_token +
                "\n[management]\nlisten = " + at(i, this->management) + "\n");
        this->run.start(
            name_of(i), {"oleanderhinge-control", "--config", file});
    }

    // A gauge of the node's state; -1 if the node does not answer.
    double gauge(std::size_t i, const std::string& name) const
    {
        const auto reply = call(
            this->management,
            {"GET", "/metrics", "", {}, address_of(i)},
            std::chrono::seconds(2));
        const auto key =
            "\noleanderhinge_control_state{name=\"" + name + "\"} ";
        const auto found = reply.body.find(key);
        return found == std::string::npos
                   ? -1
                   : std::stod(reply.body.substr(found + key.size()));
    }

    // Index of the leader, or `count`.
    std::size_t leader() const
    {
        for (std::size_t i = 0; i < this->count; ++i)
            if (this->gauge(i, "leader") == 1 && this->gauge(i, "quorum") == 1)
                return i;
        return this->count;
    }

    bool wait_for_leader()
    {
        return wait_until([&] { return this->leader() < this->count; });
    }

    // Sends a call to all nodes in turn until one has the answer.
    http_reply
    ask(const std::string& method,
        const std::string& target,
        const std::string& body)
    {
        http_reply reply;
        wait_until([&] {
            for (std::size_t i = 0; i < this->count; ++i) {
                reply = call(
                    this->admin,
                    {method,
                     target,
                     body,
                     {{"Authorization", std::string("Bearer ") + admin_token}},
                     address_of(i)},
                    std::chrono::seconds(10));
                if (reply.status / 100 == 2)
                    return true;
            }
            return false;
        });
        return reply;
    }

    // Stores a customer; the revision in force.
    std::uint64_t change()
    {
        const json::array intents{json::object{
            {"op", "put_customer"},
            {"customer",
             {{"id", "site-1"},
              {"credential_sha256", std::string(64, 'a')},
              {"weight", 3}}}}};
        const auto plan = this->ask(
            "POST",
            "/v1/plans",
            json::serialize(json::object{{"intents", intents}}));
        if (plan.status / 100 != 2)
            return 0;
        const auto id = json::parse(plan.body).at("id").as_string();
        this->ask(
            "POST", "/v1/plans/" + std::string(id.c_str()) + "/confirm", "");
        return this->revision();
    }

    std::uint64_t revision()
    {
        const auto reply = this->ask("GET", "/v1/routes", "");
        if (reply.status != 200)
            return 0;
        return json::parse(reply.body)
            .at("revision")
            .to_number<std::uint64_t>();
    }

    std::size_t count = 0;
    processes run;
    const std::uint16_t link = processes::free_port();
    const std::uint16_t admin = processes::free_port();
    const std::uint16_t management = processes::free_port();
};

// Three seeds form the group; two lost disks of three would lose it.
TEST_F(control_size, a_group_grows_and_bears_two_lost_disks_in_a_power_loss)
{
    this->count = 7;
    for (std::size_t i = 0; i < this->count; ++i)
        this->start(i, true);
    ASSERT_TRUE(this->wait_for_leader());
    ASSERT_TRUE(wait_until([&] {
        const auto leader = this->leader();
        return leader < this->count && this->gauge(leader, "members") == 6 &&
               this->gauge(leader, "voters_missing") == 0;
    }));
    const auto before = this->change();
    ASSERT_GT(before, 0U);
    // The leader and one more lose their disks, the others their power.
    const auto leader = this->leader();
    ASSERT_LT(leader, this->count);
    for (std::size_t i = 0; i < this->count; ++i)
        this->run.kill(name_of(i));
    std::filesystem::remove_all(this->folder_of(leader));
    std::filesystem::remove_all(this->folder_of(leader == 0 ? 1 : 0));
    for (std::size_t i = 0; i < this->count; ++i)
        this->start(i, false);
    EXPECT_EQ(this->revision(), before);
    EXPECT_TRUE(wait_until([&] {
        const auto now = this->leader();
        return now < this->count && this->gauge(now, "losses_borne") == 2;
    }));
}

// The others wait for the disk of the third, which no longer finds settings of
// a first start.
TEST_F(control_size, a_group_forms_although_a_node_is_killed_at_the_first_start)
{
    this->count = 3;
    for (const bool empty : {false, true}) {
        for (std::size_t i = 0; i < this->count; ++i)
            this->start(i, true);
        ASSERT_TRUE(wait_until([&] {
            return std::filesystem::exists(this->folder_of(2) + "/member");
        }));
        this->run.kill(name_of(2));
        if (empty)
            std::filesystem::remove_all(this->folder_of(2));
        this->start(2, false);
        EXPECT_TRUE(this->wait_for_leader()) << "empty " << empty;
        EXPECT_GT(this->change(), 0U) << "empty " << empty;
        for (std::size_t i = 0; i < this->count; ++i) {
            this->run.kill(name_of(i));
            std::filesystem::remove_all(this->folder_of(i));
        }
    }
}

} // namespace
} // namespace oleanderhinge::tests
