#include "oleanderhinge/fleet/division.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oleanderhinge::fleet
{

namespace
{

// Divisions are compared for numbers of requests that grow by this factor; a
// finer grid changes the rate by less than the rounding to whole layers.
constexpr double grid_factor = 1.05;
constexpr double least_requests = 8;
// More requests than any chain holds.
constexpr double most_requests = 1 << 20;

// Room for a request against its usual size: a chain that holds a hundred
// requests on average has more and larger ones at its peaks.
constexpr double cache_reserve = 1.6;

// Room for one request in one layer.
double request_mb(const wire::engine_profile& profile)
{
    return cache_reserve * profile.cache_bytes_per_token *
           (profile.usual_prompt_tokens + profile.usual_answer_tokens) /
           (1e6 * profile.layer_count);
}

// Layers that each part can hold with room for so many requests at once.
std::vector<std::uint32_t> most_layers(
    const wire::engine_profile& profile,
    const std::vector<part_shape>& parts,
    double requests)
{
    std::vector<std::uint32_t> shares;
    for (const auto& part : parts) {
        const double each =
            request_mb(profile) * requests / double(part.servers);
        shares.push_back(std::min(
            profile.layer_count,
            std::uint32_t(part.memory_mb / (profile.layer_mb + each))));
    }
    return shares;
}

// Takes layers that are not needed off the slowest parts behind the first.
void drop_extra(
    std::vector<std::uint32_t>& shares,
    const std::vector<part_shape>& parts,
    std::uint32_t extra)
{
    for (; extra > 0; --extra) {
        std::size_t from = 0;
        for (std::size_t i = 1; i < parts.size(); ++i)
            if (shares[i] > 0 &&
                (from == 0 || parts[i].step_factor * shares[i] >
                                  parts[from].step_factor * shares[from]))
                from = i;
        --shares[from];
    }
}

} // namespace

double requests_per_second(
    const wire::engine_profile& profile,
    const std::vector<part_shape>& parts,
    const std::vector<std::uint32_t>& shares,
    std::uint32_t requests)
{
    if (profile.read_tokens_per_second <= 0 || parts.empty())
        return requests;
    const double heads = double(parts.front().servers);
    const double batch = requests / heads;
    const double context =
        profile.usual_prompt_tokens + profile.usual_answer_tokens / 2;
    const double step_ms =
        profile.step_ms +
        batch * (profile.step_ms_per_request +
                 profile.step_ms_per_1000_context * context / 1000);
    const double read_ms =
        1000 * profile.usual_prompt_tokens / profile.read_tokens_per_second;
    double reading = 0;
    double token = 0;
    double busiest = 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const double share = double(shares[i]) / profile.layer_count;
        const double reads = share * parts[i].read_factor * read_ms;
        const double steps = share * parts[i].step_factor * step_ms;
        reading += reads;
        token += steps;
        // A server works for one batch at a time.
        const double each =
            reads + steps * profile.usual_answer_tokens / std::max(batch, 1.0);
        busiest = std::max(busiest, each / double(parts[i].servers));
    }
    // A batch makes no tokens while a prompt is read for it: with rate r, a
    // request takes (reading + answer) / (1 - r * reading / heads).
    const double alone = reading + token * profile.usual_answer_tokens;
    const double by_room = requests / (alone + batch * reading);
    return 1000 * std::min(by_room, 1 / busiest);
}

division divide_layers(
    const wire::engine_profile& profile, const std::vector<part_shape>& parts)
{
    division best;
    for (double requests = least_requests; requests < most_requests;
         requests *= grid_factor) {
        auto shares = most_layers(profile, parts, requests);
        const auto sum = std::accumulate(shares.begin(), shares.end(), 0U);
        if (sum < profile.layer_count)
            break;
        drop_extra(shares, parts, sum - profile.layer_count);
        const auto count = std::uint32_t(requests);
        const auto rate = requests_per_second(profile, parts, shares, count);
        if (rate >= best.per_second)
            best = {std::move(shares), count, rate};
    }
    return best;
}

} // namespace oleanderhinge::fleet
