// A fleet of three data centres for tests of the placement of layers.
#pragma once

#include "oleanderhinge/fleet/paths.hpp"
#include "oleanderhinge/fleet/placement.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace oleanderhinge::fleet::test
{

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const base::time_point start{seconds(100)};

// Profile of the deployed sites: 80 layers of 1,750 MB, three kinds of
// accelerators.
inline wire::engine_profile make_profile()
{
    wire::engine_profile profile;
    profile.layer_count = 80;
    profile.layer_mb = 1750;
    profile.loads_at_once = 6;
    profile.cache_bytes_per_token = 590000;
    profile.step_ms = 1.02;
    profile.step_ms_per_request = 0.00459;
    profile.step_ms_per_1000_context = 0.00615;
    profile.read_tokens_per_second = 164000;
    profile.usual_prompt_tokens = 774;
    profile.usual_answer_tokens = 210;
    profile.kinds = {
        {"a100", 72000, 2.4, 3.2},
        {"v100", 14400, 5.3, 7.9},
        {"l4", 21600, 16, 8.2}};
    return profile;
}

// Backend servers that carry out every order at once, and their plan.
struct planned_fleet {
    planned_fleet()
    {
        this->add("glasgow", 1, 6, 6);
        this->add("edinburgh", 1, 10, 4);
        this->add("inverness", 2, 4, 4);
    }

    void add(const std::string& data_centre, int a100, int v100, int l4)
    {
        for (int i = 0; i < a100 + v100 + l4; ++i) {
            wire::server_record record;
            const auto id = data_centre + std::to_string(i);
            record.id = base::backend_server_id{id};
            record.started_ms = 1;
            record.service = "chat";
            record.address = id;
            record.port = 80;
            record.data_centre = base::data_centre_id{data_centre};
            record.kind = i < a100 ? "a100" : i < a100 + v100 ? "v100" : "l4";
            this->servers.push_back(record);
        }
    }

    // Updates the plan and carries out every order at once. Returns the number
    // of orders.
    std::size_t settle(base::time_point now)
    {
        std::size_t count = 0;
        update(this->plan, this->profile, this->servers, now);
        for (const auto& order :
             due_orders(this->plan, this->profile, this->servers, true, now)) {
            ++count;
            this->last_handover = order.running;
            for (auto& server : this->servers)
                if (server.id == order.server)
                    server.layers = order.layers;
        }
        return count;
    }

    // The cheapest complete path inside one data centre; empty if there is
    // none.
    path path_inside(const std::string& data_centre) const
    {
        std::vector<path_server> found;
        for (const auto& server : this->servers)
            if (server.data_centre.value() == data_centre)
                found.push_back(
                    {server.id,
                     {server.address, server.port},
                     server.data_centre,
                     server.layers,
                     1});
        const auto paths = find_paths(
            found,
            this->profile.layer_count,
            base::data_centre_id{data_centre},
            {});
        return paths.empty() ? path{} : paths.front().parts;
    }

    wire::server_record remove_server(const std::string& id)
    {
        for (auto i = this->servers.begin(); i != this->servers.end(); ++i) {
            if (i->id.value() != id)
                continue;
            const auto record = *i;
            this->servers.erase(i);
            return record;
        }
        return {};
    }

    wire::engine_profile profile = make_profile();
    std::vector<wire::server_record> servers;
    placement plan;
    handover last_handover = handover::finish_running;
};

class fleet_fixture : public testing::Test, public planned_fleet
{
};

} // namespace oleanderhinge::fleet::test
