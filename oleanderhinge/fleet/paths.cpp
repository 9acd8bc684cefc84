#include "oleanderhinge/fleet/paths.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>

namespace oleanderhinge::fleet
{

namespace
{

// Cheapest way to have run the layers before a position and to be in a data
// centre.
struct step {
    double cost = std::numeric_limits<double>::infinity();
    // Server of the last part, and where that part began.
    std::optional<std::size_t> server;
    std::uint32_t from_layer = 0;
    std::size_t from_place = 0;
    std::size_t parts = 0;
};

class search
{
public:
    search(
        const std::vector<path_server>& all,
        std::uint32_t layer_count,
        const base::data_centre_id& home,
        const path_costs& chosen)
        : servers(all)
        , layers(layer_count)
        , costs(chosen)
        , start(this->place_of(home))
    {
        for (const auto& server : all)
            this->places_by_server.push_back(
                this->place_of(server.data_centre));
        this->table.assign(
            layer_count + 1, std::vector<step>(this->places.size()));
        this->table[0][this->start].cost = 0;
    }

    path run()
    {
        // Parts end where the range of their server ends, so positions only
        // grow and no server appears twice.
        for (std::uint32_t at = 0; at < this->layers; ++at)
            for (std::size_t place = 0; place < this->places.size(); ++place)
                if (this->table[at][place].cost <
                    std::numeric_limits<double>::infinity())
                    this->extend(at, place);
        return this->unwind();
    }

private:
    std::size_t place_of(const base::data_centre_id& id)
    {
        return this->places.emplace(id, this->places.size()).first->second;
    }

    void extend(std::uint32_t at, std::size_t place)
    {
        const auto& here = this->table[at][place];
        if (here.parts >= this->costs.most_parts)
            return;
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            const auto& server = this->servers[i];
            const auto end = std::min(server.layers.end.value(), this->layers);
            if (server.layers.first.value() > at || end <= at)
                continue;
            const auto next_place = this->places_by_server[i];
            const double cost = here.cost + server.ms_per_layer * (end - at) +
                                this->costs.part_ms +
                                (next_place == place ? 0
                                 : at == 0 ? this->costs.remote_start_ms
                                           : this->costs.crossing_ms);
            auto& next = this->table[end][next_place];
            if (cost < next.cost)
                next = {cost, i, at, place, here.parts + 1};
        }
    }

    path unwind() const
    {
        const auto& ends = this->table[this->layers];
        auto best = std::min_element(
            ends.begin(), ends.end(), [](const step& left, const step& right) {
                return left.cost < right.cost;
            });
        path parts;
        std::uint32_t at = this->layers;
        for (const step* last = &*best; last->server;) {
            const auto& server = this->servers[*last->server];
            parts.push_back(
                {server.id,
                 server.address,
                 server.data_centre,
                 {base::layer_index{last->from_layer}, base::layer_index{at}}});
            at = last->from_layer;
            last = &this->table[at][last->from_place];
        }
        std::reverse(parts.begin(), parts.end());
        return parts;
    }

    const std::vector<path_server>& servers;
    const std::uint32_t layers;
    const path_costs& costs;
    std::map<base::data_centre_id, std::size_t> places;
    const std::size_t start;
    std::vector<std::size_t> places_by_server;
    std::vector<std::vector<step>> table;
};

} // namespace

path find_path(
    const std::vector<path_server>& servers,
    std::uint32_t layer_count,
    const base::data_centre_id& home,
    const path_costs& costs)
{
    if (layer_count == 0)
        return {};
    return search(servers, layer_count, home, costs).run();
}

double cost_of(
    const path& parts,
    const std::vector<path_server>& servers,
    const base::data_centre_id& home,
    const path_costs& costs)
{
    double cost = 0;
    const auto* place = &home;
    for (const auto& part : parts) {
        const auto server = std::find_if(
            servers.begin(), servers.end(), [&](const path_server& item) {
                return item.id == part.server;
            });
        if (server == servers.end())
            return std::numeric_limits<double>::infinity();
        const auto layers = part.layers.end.value() - part.layers.first.value();
        cost += server->ms_per_layer * layers + costs.part_ms;
        if (part.data_centre != *place)
            cost += &part == &parts.front() ? costs.remote_start_ms
                                            : costs.crossing_ms;
        place = &part.data_centre;
    }
    return cost;
}

bool is_complete(const path& parts, std::uint32_t layer_count)
{
    std::uint32_t next = 0;
    for (const auto& part : parts) {
        if (part.layers.first.value() != next ||
            part.layers.end <= part.layers.first)
            return false;
        next = part.layers.end.value();
    }
    return next == layer_count;
}

} // namespace oleanderhinge::fleet
