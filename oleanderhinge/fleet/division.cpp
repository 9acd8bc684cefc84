#include "oleanderhinge/fleet/division.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oleanderhinge::fleet
{

namespace
{

// Factor between the numbers of requests for which divisions are compared. A
// smaller one changes the rate by less than the rounding to whole layers does.
constexpr double search_factor = 1.05;
constexpr double min_requests = 8;
// Upper bound of the search; more requests than any chain holds.
constexpr double max_requests = 1 << 20;

// Cache memory reserved for a request, as a multiple of its usual size. A chain
// that holds 100 requests on average has more and larger ones at its peaks.
constexpr double cache_headroom = 1.6;

// Cache memory reserved for one request in one layer, in MB.
double request_mb(const wire::engine_profile& profile)
{
    return cache_headroom * profile.cache_bytes_per_token *
           (profile.usual_prompt_tokens + profile.usual_answer_tokens) /
           (1e6 * profile.layer_count);
}

// Layers that each part can hold beside the cache of `requests` concurrent
// requests.
std::vector<std::uint32_t> max_layers(
    const wire::engine_profile& profile,
    const std::vector<part_shape>& parts,
    double requests)
{
    std::vector<std::uint32_t> layers_per_part;
    for (const auto& part : parts) {
        const double cache_mb =
            request_mb(profile) * requests / double(part.servers);
        const double layer_mb = profile.layer_mb + cache_mb;
        layers_per_part.push_back(
            layer_mb <= 0 ? profile.layer_count
                          : std::uint32_t(std::clamp(
                                part.memory_mb / layer_mb,
                                0.0,
                                double(profile.layer_count))));
    }
    return layers_per_part;
}

// Removes `extra` layers, one at a time, each from the part behind the first
// whose layers take longest; from the first part once the others have none.
void remove_extra(
    std::vector<std::uint32_t>& layers_per_part,
    const std::vector<part_shape>& parts,
    std::uint32_t extra)
{
    for (; extra > 0; --extra) {
        std::size_t slowest = 0;
        for (std::size_t i = 1; i < parts.size(); ++i)
            if (layers_per_part[i] > 0 &&
                (slowest == 0 ||
                 parts[i].step_factor * layers_per_part[i] >
                     parts[slowest].step_factor * layers_per_part[slowest]))
                slowest = i;
        --layers_per_part[slowest];
    }
}

} // namespace

double requests_per_second(
    const wire::engine_profile& profile,
    const std::vector<part_shape>& parts,
    const std::vector<std::uint32_t>& layers_per_part,
    std::uint32_t requests)
{
    if (profile.read_tokens_per_second <= 0 || parts.empty())
        return requests;
    const double first_servers = double(parts.front().servers);
    const double batch = requests / first_servers;
    const double context =
        profile.usual_prompt_tokens + profile.usual_answer_tokens / 2;
    const double step_ms =
        profile.step_ms +
        batch * (profile.step_ms_per_request +
                 profile.step_ms_per_1000_context * context / 1000);
    const double read_ms =
        1000 * profile.usual_prompt_tokens / profile.read_tokens_per_second;
    double prompt_ms = 0;
    double token_ms = 0;
    double busiest_ms = 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const double share = double(layers_per_part[i]) / profile.layer_count;
        const double part_prompt_ms = share * parts[i].read_factor * read_ms;
        const double part_token_ms = share * parts[i].step_factor * step_ms;
        prompt_ms += part_prompt_ms;
        token_ms += part_token_ms;
        // A server processes one batch at a time.
        const double request_ms =
            part_prompt_ms +
            part_token_ms * profile.usual_answer_tokens / std::max(batch, 1.0);
        busiest_ms =
            std::max(busiest_ms, request_ms / double(parts[i].servers));
    }
    // A batch generates no tokens while a prompt is read for it. At r requests
    // per millisecond, a request takes
    // unshared_ms / (1 - r * prompt_ms / first_servers).
    const double unshared_ms =
        prompt_ms + token_ms * profile.usual_answer_tokens;
    const double by_capacity = requests / (unshared_ms + batch * prompt_ms);
    return 1000 * std::min(by_capacity, 1 / busiest_ms);
}

division divide_layers(
    const wire::engine_profile& profile, const std::vector<part_shape>& parts)
{
    division best;
    for (double requests = min_requests; requests < max_requests;
         requests *= search_factor) {
        auto layers_per_part = max_layers(profile, parts, requests);
        const auto total_layers =
            std::accumulate(layers_per_part.begin(), layers_per_part.end(), 0U);
        if (total_layers < profile.layer_count)
            break;
        remove_extra(
            layers_per_part, parts, total_layers - profile.layer_count);
        const auto count = std::uint32_t(requests);
        const auto rate =
            requests_per_second(profile, parts, layers_per_part, count);
        if (rate >= best.requests_per_second)
            best = {std::move(layers_per_part), count, rate};
    }
    return best;
}

} // namespace oleanderhinge::fleet
