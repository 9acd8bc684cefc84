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
// If all paths have more parts than engines accept, the search is repeated with
// the charge for a part multiplied by this, which favours fewer, larger parts.
constexpr double part_charge_factor = 8;
constexpr int max_searches = 4;
// Usual delay of a link between two data centres of a region.
constexpr double link_delay_ms = 0.75;

// Cheapest way to run the layers from a given one to the last, if the part
// before ran in a given data centre.
struct continuation {
    double cost = unreachable;
    std::size_t parts = 0;
    // Next server; unset after the last layer.
    std::optional<std::size_t> server;
};

// Dynamic programme over the layers from the last to the first.
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
            this->data_centre_of.push_back(
                this->data_centres
                    .emplace(server.data_centre, this->data_centres.size())
                    .first->second);
        this->table.assign(
            layer_count + 1,
            std::vector<continuation>(this->data_centres.size()));
        for (auto& last : this->table[layer_count])
            last.cost = 0;
        this->holders.resize(layer_count);
        for (std::size_t server = 0; server < this->servers.size(); ++server)
            for (auto layer = this->servers[server].layers.first.value();
                 layer < this->end_of(server);
                 ++layer)
                this->holders[layer].push_back(server);
        // A part ends where the range of its server ends, so each part starts
        // at a higher layer than the one before and no server appears twice.
        for (std::uint32_t layer = layer_count; layer-- > 1;)
            this->fill(layer);
    }

    std::vector<costed_path> run(const base::data_centre_id& home)
    {
        std::vector<costed_path> found;
        for (const auto i : this->holders[0]) {
            const bool remote = this->servers[i].data_centre != home;
            const auto whole_path = this->continue_with(
                i, 0, remote ? this->costs.remote_start_ms : 0);
            if (whole_path.cost < unreachable)
                found.push_back({this->build_path(i), whole_path.cost});
        }
        std::stable_sort(
            found.begin(),
            found.end(),
            [](const costed_path& left, const costed_path& right) {
                return left.cost < right.cost;
            });
        return found;
    }

    // True if some path was left out because it has too many parts.
    bool has_left_out_paths() const { return this->too_long; }

private:
    std::uint32_t end_of(std::size_t server) const
    {
        return std::min(this->servers[server].layers.end.value(), this->layers);
    }

    continuation
    continue_with(std::size_t server, std::uint32_t layer, double entry_ms)
    {
        const auto end = this->end_of(server);
        const auto& rest = this->table[end][this->data_centre_of[server]];
        if (rest.cost < unreachable && rest.parts >= this->costs.max_parts) {
            this->too_long = true;
            return {};
        }
        return {
            entry_ms + this->servers[server].ms_per_layer * (end - layer) +
                this->costs.part_ms + rest.cost,
            rest.parts + 1,
            server};
    }

    // Finds the cheapest continuation from a layer for each data centre of the
    // part before.
    void fill(std::uint32_t layer)
    {
        // By the data centre of the next server, without a crossing.
        std::vector<continuation> nearest(this->data_centres.size());
        for (const auto i : this->holders[layer]) {
            const auto next = this->continue_with(i, layer, 0);
            auto& best = nearest[this->data_centre_of[i]];
            if (next.cost < best.cost)
                best = next;
        }
        for (std::size_t from = 0; from < nearest.size(); ++from) {
            auto best = nearest[from];
            for (std::size_t to = 0; to < nearest.size(); ++to) {
                auto next = nearest[to];
                if (to != from)
                    next.cost += this->costs.crossing_ms;
                if (next.cost < best.cost)
                    best = next;
            }
            this->table[layer][from] = best;
        }
    }

    path build_path(std::size_t first) const
    {
        path parts;
        std::uint32_t layer = 0;
        for (std::optional<std::size_t> next = first; next;) {
            const auto& server = this->servers[*next];
            const auto end = this->end_of(*next);
            parts.push_back(
                {server.id,
                 server.address,
                 server.data_centre,
                 {base::layer_index{layer}, base::layer_index{end}}});
            next = this->table[end][this->data_centre_of[*next]].server;
            layer = end;
        }
        return parts;
    }

    const std::vector<path_server>& servers;
    const std::uint32_t layers;
    const path_costs& costs;
    bool too_long = false;
    std::map<base::data_centre_id, std::size_t> data_centres;
    std::vector<std::size_t> data_centre_of;
    // Servers that hold each layer.
    std::vector<std::vector<std::size_t>> holders;
    // By first layer and data centre of the part before.
    std::vector<std::vector<continuation>> table;
};

} // namespace

path_costs costs_of(const wire::engine_profile& engine)
{
    constexpr double bits_per_byte = 8;
    constexpr double bits_per_ms_and_mbps = 1000;
    path_costs costs;
    const double prompt_bits =
        engine.usual_prompt_tokens * engine.activation_bytes * bits_per_byte;
    if (prompt_bits > 0 && engine.data_centre_link_mbps > 0)
        costs.crossing_ms =
            link_delay_ms +
            prompt_bits / (engine.data_centre_link_mbps * bits_per_ms_and_mbps);
    return costs;
}

std::vector<costed_path> find_paths(
    const std::vector<path_server>& servers,
    std::uint32_t layer_count,
    const base::data_centre_id& home,
    const path_costs& costs)
{
    if (layer_count == 0)
        return {};
    auto adjusted_costs = costs;
    for (int round = 1;; ++round) {
        search attempt(servers, layer_count, adjusted_costs);
        auto found = attempt.run(home);
        if (!found.empty() || !attempt.has_left_out_paths() ||
            round == max_searches)
            return found;
        adjusted_costs.part_ms *= part_charge_factor;
    }
}

std::string describe(const path& parts)
{
    std::string text;
    for (const auto& part : parts)
        text += (text.empty() ? "" : ",") + part.server.value();
    return text;
}

bool stays_in_one_data_centre(const path& parts)
{
    return std::all_of(parts.begin(), parts.end(), [&](const path_part& part) {
        return part.data_centre == parts.front().data_centre;
    });
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
