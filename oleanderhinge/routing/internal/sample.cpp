#include "oleanderhinge/routing/internal/sample.hpp"

#include "oleanderhinge/routing/internal/server.hpp"

#include <algorithm>

namespace oleanderhinge::routing::internal
{

namespace
{

// Draws for each wanted candidate before giving up.
constexpr std::uint32_t draws_per_candidate = 3;

struct sampler {
    const view& v;
    const sample_query& query;
    base::random_source& random;
    base::time_point now;
    std::vector<slot> chosen;

    bool is_chosen(slot at) const
    {
        return std::find(this->chosen.begin(), this->chosen.end(), at) !=
               this->chosen.end();
    }

    // Draws up to `wanted` further servers at random.
    void draw(const std::vector<slot>& from, std::uint32_t wanted)
    {
        for (auto draws = wanted * draws_per_candidate; draws > 0 && wanted > 0;
             --draws) {
            const slot at = from[this->random.below(from.size())];
            const auto& server = this->v.servers[at];
            if (this->is_chosen(at) ||
                !is_candidate(server, this->query, this->now))
                continue;
            const double share =
                health_share(this->v.options, server, this->now);
            if (share < 1 && this->random.unit() >= share)
                continue;
            this->chosen.push_back(at);
            --wanted;
        }
    }

    // Takes the first servers after a random position whose share is above
    // `least_share`.
    void search(
        const std::vector<slot>& from, std::uint32_t wanted, double least_share)
    {
        const auto start = this->random.below(from.size());
        for (std::size_t i = 0; i < from.size(); ++i) {
            const slot at = from[(start + i) % from.size()];
            const auto& server = this->v.servers[at];
            if (!is_candidate(server, this->query, this->now) ||
                health_share(this->v.options, server, this->now) <= least_share)
                continue;
            this->chosen.push_back(at);
            if (this->chosen.size() >= wanted)
                return;
        }
    }
};

template <class Key>
const std::vector<slot>* find_list(
    const std::unordered_map<Key, std::vector<slot>>& lists, const Key& key)
{
    const auto it = lists.find(key);
    return it == lists.end() ? nullptr : &it->second;
}

} // namespace

bool is_candidate(
    const server_entry& server, const sample_query& query, base::time_point now)
{
    return is_usable(server, now) &&
           server.info.layer_count == query.layer_count &&
           std::find(query.avoid.begin(), query.avoid.end(), server.info.id) ==
               query.avoid.end();
}

std::vector<slot> sample(
    const view& v,
    const group& from,
    const sample_query& query,
    base::random_source& random,
    base::time_point now)
{
    sampler s{v, query, random, now, {}};
    if (from.all.empty())
        return {};
    const auto wanted = std::max(1U, v.options.candidates);
    const auto* near = find_list(from.by_data_centre, query.data_centre);
    if (near != nullptr)
        s.draw(*near, wanted);
    const auto* region = find_list(from.by_region, query.region);
    if (region != nullptr && (near == nullptr || region->size() > near->size()))
        s.draw(*region, near == nullptr ? wanted : 1);
    if (region == nullptr || from.all.size() > region->size())
        s.draw(from.all, s.chosen.empty() ? wanted : 1);
    if (s.chosen.empty())
        s.search(from.all, wanted, 0);
    // A server that is out is better than no answer at all.
    if (s.chosen.empty())
        s.search(from.all, wanted, -1);
    return std::move(s.chosen);
}

double link_cost_us(
    const view_options& options,
    const base::data_centre_id& from_data_centre,
    const base::region_id& from_region,
    const server_info& to)
{
    if (from_data_centre == to.data_centre)
        return options.same_data_centre_us;
    return from_region == to.region ? options.same_region_us
                                    : options.other_region_us;
}

double server_cost_us(
    const view_options& options,
    const server_entry& server,
    base::rank work_rank,
    base::time_point now)
{
    const auto& load = server.info.load;
    const double speed = std::max(1U, server.info.speed_percent);
    const double step = load.step_us > 0
                            ? double(load.step_us)
                            : options.default_step_us * 100 / speed;
    const double limit = std::max(1U, load.limit);
    const double requests = requests_at(options, server, work_rank);
    const double waiting = std::max(0.0, requests + 1 - limit);
    const double congestion = 1 + options.busy_weight * requests / limit +
                              options.waiting_weight * waiting / limit;
    const double failures = now - server.last_failure < options.failure_memory
                                ? server.consecutive_failures
                                : 0;
    const bool refused = now < server.refused_until[std::size_t(work_rank)];
    return step * congestion * (1 + options.failure_weight * failures) *
           (refused ? 1 + options.refusal_weight : 1);
}

} // namespace oleanderhinge::routing::internal
