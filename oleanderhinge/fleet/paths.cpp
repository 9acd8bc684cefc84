#include "oleanderhinge/fleet/paths.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>

namespace oleanderhinge::fleet
{

namespace
{

constexpr double unreachable = std::numeric_limits<double>::infinity();
// Where the cheapest path has more parts than engines accept, each part is
// charged this many times as much, so that fewer and larger ones are taken.
constexpr double dearer_parts = 8;
constexpr int most_searches = 4;

// Cheapest way to run the layers from a position on, coming from a data centre.
struct continuation {
    double cost = unreachable;
    std::size_t parts = 0;
    // Next server; unset behind the last layer.
    std::optional<std::size_t> server;
};

class search
{
public:
    search(
        const std::vector<path_server>& all,
        std::uint32_t layer_count,
        const path_costs& chosen)
        : servers(all)
        , layers(layer_count)
        , costs(chosen)
    {
        for (const auto& server : all)
            this->places_by_server.push_back(
                this->places.emplace(server.data_centre, this->places.size())
                    .first->second);
        this->table.assign(
            layer_count + 1, std::vector<continuation>(this->places.size()));
        for (auto& last : this->table[layer_count])
            last.cost = 0;
        // Parts end where the range of their server ends, so positions only
        // grow and no server appears twice.
        for (std::uint32_t at = layer_count; at-- > 1;)
            for (std::size_t place = 0; place < this->places.size(); ++place)
                this->table[at][place] = this->cheapest(at, place);
    }

    std::vector<costed_path> run(const base::data_centre_id& home)
    {
        std::vector<costed_path> found;
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            if (!this->holds(i, 0))
                continue;
            const bool remote = this->servers[i].data_centre != home;
            const auto from_here = this->starting_with(
                i, 0, remote ? this->costs.remote_start_ms : 0);
            if (from_here.cost < unreachable)
                found.push_back({this->unwind(i), from_here.cost});
        }
        std::stable_sort(
            found.begin(),
            found.end(),
            [](const costed_path& left, const costed_path& right) {
                return left.cost < right.cost;
            });
        return found;
    }

    // Some path was left out since it has too many parts.
    bool left_out() const { return this->too_long; }

private:
    std::uint32_t end_of(std::size_t server) const
    {
        return std::min(this->servers[server].layers.end.value(), this->layers);
    }

    bool holds(std::size_t server, std::uint32_t layer) const
    {
        return this->servers[server].layers.first.value() <= layer &&
               layer < this->end_of(server);
    }

    continuation
    starting_with(std::size_t server, std::uint32_t at, double entry_ms)
    {
        const auto end = this->end_of(server);
        const auto& rest = this->table[end][this->places_by_server[server]];
        if (rest.cost < unreachable && rest.parts >= this->costs.most_parts) {
            this->too_long = true;
            return {};
        }
        return {
            entry_ms + this->servers[server].ms_per_layer * (end - at) +
                this->costs.part_ms + rest.cost,
            rest.parts + 1,
            server};
    }

    continuation cheapest(std::uint32_t at, std::size_t place)
    {
        continuation best;
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            if (!this->holds(i, at))
                continue;
            const bool crosses = this->places_by_server[i] != place;
            const auto next = this->starting_with(
                i, at, crosses ? this->costs.crossing_ms : 0);
            if (next.cost < best.cost)
                best = next;
        }
        return best;
    }

    path unwind(std::size_t first) const
    {
        path parts;
        std::uint32_t at = 0;
        for (std::optional<std::size_t> next = first; next;) {
            const auto& server = this->servers[*next];
            const auto end = this->end_of(*next);
            parts.push_back(
                {server.id,
                 server.address,
                 server.data_centre,
                 {base::layer_index{at}, base::layer_index{end}}});
            next = this->table[end][this->places_by_server[*next]].server;
            at = end;
        }
        return parts;
    }

    const std::vector<path_server>& servers;
    const std::uint32_t layers;
    const path_costs& costs;
    bool too_long = false;
    std::map<base::data_centre_id, std::size_t> places;
    std::vector<std::size_t> places_by_server;
    // By position and data centre of the part before.
    std::vector<std::vector<continuation>> table;
};

} // namespace

std::vector<costed_path> find_paths(
    const std::vector<path_server>& servers,
    std::uint32_t layer_count,
    const base::data_centre_id& home,
    const path_costs& costs)
{
    if (layer_count == 0)
        return {};
    auto charged = costs;
    for (int round = 1;; ++round) {
        search every(servers, layer_count, charged);
        auto found = every.run(home);
        if (!found.empty() || !every.left_out() || round == most_searches)
            return found;
        charged.part_ms *= dearer_parts;
    }
}

std::string describe(const path& parts)
{
    std::string text;
    for (const auto& part : parts)
        text += (text.empty() ? "" : ",") + part.server.value();
    return text;
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
