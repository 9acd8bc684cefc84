// Prints how the layers of a model are divided over a data centre's engines and
// the rate that each choice of first servers is expected to serve. See
// docs/benchmarks.md.
//
// Example: placement-report --engines 1,6,6
#include "oleanderhinge/fleet/division.hpp"

#include <CLI/CLI.hpp>

#include <array>
#include <cstdio>
#include <string>
#include <vector>

namespace oleanderhinge::bench
{
namespace
{

struct kind {
    const char* name;
    fleet::part_shape shape;
};

// Engines of today's sites.
constexpr std::array<kind, 3> kinds{
    {{"a100", {72000, 1, 2.4, 3.2}},
     {"v100", {14400, 1, 5.3, 7.9}},
     {"l4", {21600, 1, 16, 8.2}}}};

wire::engine_profile make_profile(bool grown)
{
    wire::engine_profile profile;
    profile.layer_count = 80;
    profile.layer_mb = 1750;
    profile.step_ms = 1.02;
    profile.usual_prompt_tokens = 774;
    profile.usual_answer_tokens = 210;
    profile.cache_bytes_per_token = grown ? 328000 : 590000;
    profile.step_ms_per_request = grown ? 0.00255 : 0.00459;
    profile.step_ms_per_1000_context = grown ? 0.00342 : 0.00615;
    profile.read_tokens_per_second = grown ? 294000 : 164000;
    return profile;
}

void report(
    const wire::engine_profile& profile,
    const std::vector<std::size_t>& engines,
    std::size_t head,
    std::size_t heads)
{
    auto first = kinds[head].shape;
    first.servers = heads;
    std::vector<fleet::part_shape> parts{first};
    for (std::size_t i = 0; i < kinds.size(); ++i)
        parts.insert(
            parts.end(), engines[i] - (i == head ? heads : 0), kinds[i].shape);
    const auto found = fleet::divide_layers(profile, parts);
    std::string shares;
    for (const auto share : found.layers_per_part)
        shares += (shares.empty() ? "" : " ") + std::to_string(share);
    std::printf(
        "%zu x %-4s first: %5.1f requests/s, %3u at once, layers %s\n",
        heads,
        kinds[head].name,
        found.requests_per_second,
        found.requests,
        shares.c_str());
}

} // namespace
} // namespace oleanderhinge::bench

int main(int argc, char** argv)
{
    using namespace oleanderhinge::bench;
    CLI::App app{"Divisions of a model over the engines of a data centre."};
    std::vector<std::size_t> engines{1, 6, 6};
    bool grown = false;
    app.add_option("--engines", engines, "engines of each kind: a100,v100,l4")
        ->delimiter(',')
        ->expected(int(kinds.size()));
    app.add_flag("--grown", grown, "engine times of the grown sites");
    CLI11_PARSE(app, argc, argv);
    for (std::size_t head = 0; head < kinds.size(); ++head)
        for (std::size_t heads = 1; heads <= engines[head] && heads <= 8;
             ++heads)
            report(make_profile(grown), engines, head, heads);
}
