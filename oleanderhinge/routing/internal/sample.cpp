#include "oleanderhinge/routing/internal/sample.hpp"

#include "oleanderhinge/routing/internal/server.hpp"

#include <algorithm>

namespace oleanderhinge::routing::internal
{

namespace
{

// Random draws per requested candidate. A draw can hit a server that was drawn
// before, is not a candidate or is rejected for its traffic share.
constexpr std::uint32_t draws_per_candidate = 3;

struct sampler {
    const server_view& v;
    const sample_query& query;
    base::random_source& random;
    base::time_point now;
    std::vector<server_index> chosen;

    bool is_chosen(server_index index) const
    {
        return std::find(this->chosen.begin(), this->chosen.end(), index) !=
               this->chosen.end();
    }

    // Draws up to `count` more servers at random.
    void draw(const std::vector<server_index>& from, std::uint32_t count)
    {
        for (auto draws = count * draws_per_candidate; draws > 0 && count > 0;
             --draws) {
            const server_index index = from[this->random.below(from.size())];
            const auto& server = this->v.servers[index];
            if (this->is_chosen(index) ||
                !is_candidate(server, this->query, this->now))
                continue;
            const double share =
                allowed_traffic_share(this->v.options, server, this->now);
            if (share < 1 && this->random.unit() >= share)
                continue;
            this->chosen.push_back(index);
            --count;
        }
    }

    // Takes the first `count` candidates from a random position on whose
    // traffic share is above `share_above`.
    void search(
        const std::vector<server_index>& from,
        std::uint32_t count,
        double share_above)
    {
        const auto start = this->random.below(from.size());
        for (std::size_t i = 0; i < from.size(); ++i) {
            const server_index index = from[(start + i) % from.size()];
            const auto& server = this->v.servers[index];
            if (!is_candidate(server, this->query, this->now) ||
                allowed_traffic_share(this->v.options, server, this->now) <=
                    share_above)
                continue;
            this->chosen.push_back(index);
            if (this->chosen.size() >= count)
                return;
        }
    }
};

template <class Key>
const std::vector<server_index>* find_list(
    const std::unordered_map<Key, std::vector<server_index>>& lists,
    const Key& key)
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

std::vector<server_index> sample(
    const server_view& v,
    const server_group& from,
    const sample_query& query,
    base::random_source& random,
    base::time_point now)
{
    sampler candidates{v, query, random, now, {}};
    if (from.all.empty())
        return {};
    const auto count = std::max(1U, v.options.candidates_per_range);
    const auto* local = find_list(from.by_data_centre, query.data_centre);
    if (local != nullptr)
        candidates.draw(*local, count);
    const auto* region = find_list(from.by_region, query.region);
    if (region != nullptr &&
        (local == nullptr || region->size() > local->size()))
        candidates.draw(*region, local == nullptr ? count : 1);
    if (region == nullptr || from.all.size() > region->size())
        candidates.draw(from.all, candidates.chosen.empty() ? count : 1);
    if (candidates.chosen.empty())
        candidates.search(from.all, count, 0);
    // An ejected server is preferred to failing the request.
    if (candidates.chosen.empty())
        candidates.search(from.all, count, -1);
    return std::move(candidates.chosen);
}

double link_cost_us(
    const server_view_options& options,
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
    const server_view_options& options,
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
    const double requests = competing_requests(options, server, work_rank);
    const double waiting = std::max(0.0, requests + 1 - limit);
    const double congestion = 1 + options.busy_weight * requests / limit +
                              options.waiting_weight * waiting / limit;
    const double failures =
        now - server.last_failure < options.failure_penalty_time
            ? server.consecutive_failures
            : 0;
    const bool refused = now < server.refused_until[std::size_t(work_rank)];
    return step * congestion * (1 + options.failure_weight * failures) *
           (refused ? 1 + options.refusal_weight : 1);
}

} // namespace oleanderhinge::routing::internal
