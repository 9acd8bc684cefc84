// Guards against layers that stay assigned to an address when another machine
// has it, or when the profile of the engines has changed.
#include "oleanderhinge/fleet/placement_fixture_test.hpp"

#include <functional>

namespace oleanderhinge::fleet
{
namespace
{

using namespace test;

class changing_fleet : public planned_fleet
{
public:
    // Lets time pass. Servers carry out orders at once; one that is ordered
    // more than it can hold is counted.
    void pass(base::duration time)
    {
        for (const auto end = this->now + time; this->now < end;) {
            this->now += milliseconds(500);
            update(this->plan, this->profile, this->servers, this->now);
            for (const auto& order : due_orders(
                     this->plan, this->profile, this->servers, true, this->now))
                this->carry_out(order);
        }
    }

    void carry_out(const layer_assignment& order)
    {
        for (auto& server : this->servers) {
            if (server.id != order.server)
                continue;
            const auto* kind = find_kind(this->profile, server.kind);
            if (kind == nullptr ||
                !can_hold(this->profile, *kind, order.layers))
                ++this->too_large;
            server.layers = order.layers;
        }
    }

    // Another machine starts at the address of a server.
    void start_at(const std::string& id, const std::string& kind)
    {
        auto server = this->ended.contains(id) ? this->ended.at(id)
                                               : this->remove_server(id);
        server.kind = kind;
        server.layers = {};
        ++server.started_ms;
        this->servers.push_back(server);
    }

    void end(const std::string& id)
    {
        this->ended.emplace(id, this->remove_server(id));
    }

    void change_leader()
    {
        this->plan = restore(places_of(this->plan), this->now);
    }

    wire::accelerator_kind& kind(const std::string& name)
    {
        for (auto& item : this->profile.kinds)
            if (item.name == name)
                return item;
        throw std::out_of_range(name);
    }

    // The server that holds the most layers in the data centre.
    std::string largest(const std::string& data_centre) const
    {
        const wire::server_record* found = nullptr;
        for (const auto& server : this->servers)
            if (server.data_centre.value() == data_centre &&
                (found == nullptr || size_of(server) > size_of(*found)))
                found = &server;
        return found->id.value();
    }

    static std::uint32_t size_of(const wire::server_record& server)
    {
        return server.layers.end.value() - server.layers.first.value();
    }

    base::time_point now = start;
    std::map<std::string, wire::server_record> ended;
    int too_large = 0;
};

struct replacement_case {
    const char* name;
    // Begins with a settled fleet.
    std::function<void(changing_fleet&)> events;
};

const replacement_case replacement_cases[] = {
    {"smaller at once",
     [](changing_fleet& f) { f.start_at(f.largest("glasgow"), "v100"); }},
    {"smaller while others replace its predecessor",
     [](changing_fleet& f) {
         const auto id = f.largest("glasgow");
         f.end(id);
         f.pass(seconds(3));
         f.start_at(id, "v100");
     }},
    {"smaller, and the address had another service for a minute",
     [](changing_fleet& f) {
         const auto id = f.largest("glasgow");
         f.end(id);
         f.pass(seconds(60));
         f.start_at(id, "v100");
     }},
    {"smaller, and its predecessor's layers had other holders meanwhile",
     [](changing_fleet& f) {
         f.servers.clear();
         f.plan = {};
         f.add("glasgow", 6, 0, 0);
         f.pass(seconds(10));
         const auto id = f.largest("glasgow");
         f.end(id);
         f.pass(seconds(11));
         f.start_at(id, "v100");
     }},
    {"smaller, again and again",
     [](changing_fleet& f) {
         const auto id = f.largest("glasgow");
         for (int i = 0; i < 10; ++i) {
             f.start_at(id, i % 2 == 0 ? "v100" : "l4");
             f.pass(seconds(3));
         }
     }},
    {"smaller in a data centre with two large servers",
     [](changing_fleet& f) { f.start_at(f.largest("inverness"), "v100"); }},
    {"every small server gets larger, then smaller",
     [](changing_fleet& f) {
         for (const auto* kind : {"l4", "v100"}) {
             for (int i = 1; i < 13; ++i)
                 f.start_at("glasgow" + std::to_string(i), kind);
             f.pass(seconds(20));
         }
     }},
    {"a substitute gets smaller",
     [](changing_fleet& f) {
         f.end(f.largest("glasgow"));
         f.pass(seconds(3));
         f.start_at(f.largest("glasgow"), "v100");
     }},
    {"of a kind that the profile does not list",
     [](changing_fleet& f) { f.start_at(f.largest("glasgow"), "unknown"); }},
    {"smaller, learned by a new leader",
     [](changing_fleet& f) {
         const auto id = f.largest("glasgow");
         f.end(id);
         f.pass(seconds(1));
         f.change_leader();
         f.start_at(id, "v100");
     }},
    {"smaller, then a new leader",
     [](changing_fleet& f) {
         f.start_at(f.largest("glasgow"), "v100");
         f.pass(seconds(1));
         f.change_leader();
     }},
    {"of a kind that the profile lists later",
     [](changing_fleet& f) {
         f.start_at(f.largest("glasgow"), "new");
         f.pass(seconds(2));
         f.profile.kinds.push_back({"new", 8000, 5.3, 7.9});
     }},
    {"the profile has larger layers",
     [](changing_fleet& f) { f.profile.layer_mb *= 1.2; }},
    {"the profile has larger layers, learned by a new leader",
     [](changing_fleet& f) {
         f.profile.layer_mb *= 1.2;
         f.change_leader();
     }},
    {"the profile has fewer layers",
     [](changing_fleet& f) { f.profile.layer_count = 50; }},
    {"the profile has more layers",
     [](changing_fleet& f) { f.profile.layer_count = 90; }},
    {"the profile gives a kind less memory",
     [](changing_fleet& f) { f.kind("a100").memory_mb = 40000; }},
    {"the profile gives a kind less memory while one is away",
     [](changing_fleet& f) {
         const auto id = f.largest("glasgow");
         f.end(id);
         f.pass(seconds(1));
         f.kind("a100").memory_mb = 40000;
         f.pass(seconds(1));
         f.start_at(id, "a100");
     }},
    {"the profile does not list a kind any more",
     [](changing_fleet& f) {
         std::erase_if(f.profile.kinds, [](const auto& kind) {
             return kind.name == "a100";
         });
     }},
};

// Guards against orders for more layers than the server at an address holds,
// which crash it, and against layers that nobody gets in its place.
TEST(placement, assignments_follow_the_server_at_an_address)
{
    for (const auto& item : replacement_cases) {
        changing_fleet f;
        f.pass(seconds(10));
        item.events(f);
        f.pass(seconds(60));
        EXPECT_EQ(f.too_large, 0) << item.name;
        EXPECT_TRUE(
            is_complete(f.path_inside("glasgow"), f.profile.layer_count))
            << item.name;
        const auto settled = f.plan.servers;
        f.pass(seconds(60));
        for (const auto& [address, server] : f.plan.servers)
            EXPECT_EQ(server.layers, settled.at(address).layers)
                << item.name << ' ' << address.address;
    }
}

// Guards against layers that are moved although the next machine at an address
// has the memory for them.
TEST(placement, a_larger_server_keeps_the_layers_of_its_predecessor)
{
    changing_fleet f;
    f.pass(seconds(10));
    const auto before = f.plan.servers.at({"glasgow3", 80}).layers;
    ASSERT_NE(before, base::layer_range{});
    f.start_at("glasgow3", "a100");
    f.pass(seconds(10));
    EXPECT_EQ(f.plan.servers.at({"glasgow3", 80}).layers, before);
    EXPECT_EQ(f.servers.back().layers, before);
}

// Guards against a chain that relies on a server which is elsewhere by now.
TEST(placement, a_server_in_another_data_centre_gives_its_layers_up)
{
    changing_fleet f;
    f.pass(seconds(10));
    f.start_at("glasgow0", "a100");
    f.servers.back().data_centre = base::data_centre_id{"edinburgh"};
    f.pass(seconds(60));
    for (const auto* data_centre : {"glasgow", "edinburgh"})
        EXPECT_TRUE(is_complete(f.path_inside(data_centre), 80)) << data_centre;
}

} // namespace
} // namespace oleanderhinge::fleet
