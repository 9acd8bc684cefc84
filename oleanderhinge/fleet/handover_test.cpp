// Guards against chains that stay without a part when servers leave as
// announced: rolling releases, scale-ins.
#include "oleanderhinge/fleet/placement_fixture_test.hpp"

#include <algorithm>
#include <functional>

namespace oleanderhinge::fleet
{
namespace
{

using namespace test;

class leaving_fleet : public planned_fleet
{
public:
    leaving_fleet() { this->pass(seconds(10)); }

    // One round of the plan. Servers carry out orders at once.
    std::size_t step()
    {
        this->now += milliseconds(100);
        update(this->plan, this->profile, this->servers, this->now);
        std::size_t count = 0;
        for (const auto& order : due_orders(
                 this->plan, this->profile, this->servers, true, this->now)) {
            ++count;
            for (auto& server : this->servers) {
                if (server.id != order.server)
                    continue;
                this->aborted += order.running == handover::abort_running &&
                                 server.layers != base::layer_range{};
                server.layers = order.layers;
            }
        }
        return count;
    }

    std::size_t pass(base::duration time)
    {
        std::size_t count = 0;
        for (const auto end = this->now + time; this->now < end;)
            count += this->step();
        return count;
    }

    // A server without layers starts, of the kind and in the data centre of
    // another one.
    void start_like(const std::string& id)
    {
        auto added = this->get(id);
        added.id = base::backend_server_id{"new-" + id};
        added.address = added.id.value();
        added.layers = {};
        this->servers.push_back(added);
    }

    void suspect(const std::string& id)
    {
        this->remove_server(id);
        note_suspected(this->plan, {{id, 80}});
    }

    void leave(const std::string& id)
    {
        this->remove_server(id);
        note_leaving(this->plan, {{id, 80}}, this->now);
    }

    const wire::server_record& get(const std::string& id) const
    {
        return *std::find_if(
            this->servers.begin(), this->servers.end(), [&](const auto& item) {
                return item.id.value() == id;
            });
    }

    // The servers of a data centre that alone hold some layers.
    std::vector<std::string> single_holders(const std::string& place) const
    {
        std::vector<std::string> found;
        for (const auto& part : this->path_inside(place))
            if (part.layers.first.value() != 0)
                found.push_back(part.server.value());
        return found;
    }

    bool is_whole(const std::string& place) const
    {
        return is_complete(this->path_inside(place), this->profile.layer_count);
    }

    base::time_point now = start;
    std::size_t aborted = 0;
};

struct leave_case {
    const char* name;
    // Begins with a settled fleet; ends with the last announcement.
    std::function<void(leaving_fleet&)> events;
    // Orders in the first round after it, and later ones.
    std::size_t at_once;
    std::size_t later;
    bool aborts;
};

const leave_case leave_cases[] = {
    {"a replacement reports first",
     [](leaving_fleet& f) {
         f.start_like("glasgow3");
         f.pass(seconds(1));
         f.leave("glasgow3");
     },
     1,
     0,
     false},
    {"a sixth of the fleet is replaced at a time",
     [](leaving_fleet& f) {
         auto leavers = f.single_holders("glasgow");
         leavers.resize(6);
         for (const auto& id : leavers)
             f.start_like(id);
         f.pass(seconds(1));
         for (const auto& id : leavers)
             f.leave(id);
     },
     6,
     0,
     false},
    {"a first server is replaced",
     [](leaving_fleet& f) {
         const auto id = f.path_inside("glasgow").front().server.value();
         f.start_like(id);
         f.pass(seconds(1));
         f.leave(id);
     },
     1,
     0,
     false},
    {"scale-in of a first server",
     [](leaving_fleet& f) {
         f.leave(f.path_inside("glasgow").front().server.value());
     },
     0,
     0,
     false},
    {"a server is suspected",
     [](leaving_fleet& f) { f.suspect("glasgow3"); },
     1,
     0,
     true},
    {"a new server has just started when one is suspected",
     [](leaving_fleet& f) {
         f.start_like("glasgow3");
         f.pass(seconds(1));
         f.suspect("glasgow3");
     },
     1,
     0,
     false},
    {"a new server of another data centre is no replacement",
     [](leaving_fleet& f) {
         f.start_like("edinburgh3");
         f.pass(seconds(1));
         f.leave("glasgow3");
     },
     1,
     0,
     true},
    {"scale-in of a small server: a first server takes its layers",
     [](leaving_fleet& f) { f.leave("glasgow3"); },
     1,
     0,
     true},
};

// No layer may be without a holder after the first round, and no others move.
TEST(handover, layers_of_leaving_servers_are_taken_over_at_once)
{
    for (const auto& item : leave_cases) {
        leaving_fleet f;
        item.events(f);
        EXPECT_EQ(f.step(), item.at_once) << item.name;
        EXPECT_TRUE(f.is_whole("glasgow")) << item.name;
        EXPECT_EQ(f.pass(seconds(30)), item.later) << item.name;
        EXPECT_TRUE(f.is_whole("glasgow")) << item.name;
        EXPECT_EQ(f.aborted > 0, item.aborts) << item.name;
    }
}

// Guards against a substitute that returns to its own layers when a spare
// server is assigned those that it holds, but has not loaded them.
TEST(handover, substitutes_wait_for_the_spare_server_that_replaces_the_leaver)
{
    leaving_fleet f;
    const auto lost = f.get("glasgow3");
    f.leave("glasgow3");
    f.step();
    auto late = lost;
    late.id = base::backend_server_id{"late"};
    late.address = "late";
    late.layers = {};
    f.servers.push_back(late);
    update(f.plan, f.profile, f.servers, f.now + seconds(1));
    const auto orders =
        due_orders(f.plan, f.profile, f.servers, true, f.now + seconds(1));
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().server, late.id);
    EXPECT_EQ(orders.front().layers, lost.layers);
    f.pass(seconds(10));
    EXPECT_EQ(f.get("late").layers, lost.layers);
    EXPECT_TRUE(f.is_whole("glasgow"));
}

// A chain of servers with much memory for requests loses one in its middle.
// Guards against aborted requests although the neighbours have room, and
// against a split that lets one of them hold more than its memory.
TEST(handover, neighbours_with_room_take_the_layers_without_aborting_requests)
{
    leaving_fleet f;
    f.profile.kinds[2].memory_mb = 43200;
    f.servers.clear();
    f.plan = {};
    f.add("glasgow", 0, 0, 12);
    f.pass(seconds(10));
    const auto parts = f.path_inside("glasgow");
    ASSERT_GT(parts.size(), 4U);
    const auto lost = f.remove_server(parts[2].server.value());
    f.pass(seconds(3));
    EXPECT_TRUE(f.is_whole("glasgow"));
    EXPECT_EQ(f.aborted, 0U);
    f.servers.push_back(lost);
    f.pass(seconds(3));
    for (const auto& [address, server] : f.plan.servers)
        EXPECT_EQ(server.target, server.layers) << address.address;
}

} // namespace
} // namespace oleanderhinge::fleet
