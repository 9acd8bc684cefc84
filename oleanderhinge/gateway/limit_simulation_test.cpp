// Guards against limits that hold for each gateway but not for all together.
#include "oleanderhinge/gateway/server_permits.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

namespace oleanderhinge::gateway
{
namespace
{

using namespace std::chrono_literals;

const base::time_point start{1000s};
constexpr auto step = 10ms;
constexpr auto window = 4s;
const server_incarnation server{base::backend_server_id{"a"}, 1};

struct scenario {
    const char* what;
    std::size_t gateways;
    double limit;
    // Requests of callers a second, at all gateways.
    double load;
    // Changes at `change_at`; 0: does not.
    double later_limit = 0;
    // Time without control, from `cut_at`, for this share of the gateways.
    base::duration cut{0};
    double cut_share = 1;
    bool restarts = false;
};

constexpr auto cut_at = 20s;
constexpr auto change_at = 30s;
constexpr auto restart_at = 12s;
constexpr auto end_at = 60s;

struct gateway_state {
    server_permits permits;
    double demand = 0;
    double credit = 0;
};

// What the leader does, on one limited server.
struct simple_issuer {
    double tokens = 0;

    void issue(
        std::vector<gateway_state>& gateways,
        std::size_t reached,
        double limit,
        base::time_point now)
    {
        // Ticks of 100 ms.
        this->tokens = std::min(this->tokens + limit / 10, 1 + limit / 4);
        std::vector<std::uint32_t> given(gateways.size());
        double total = 0;
        for (std::size_t i = 0; i < reached; ++i)
            total += gateways[i].demand;
        for (; this->tokens >= 1 && total > 0; this->tokens -= 1) {
            for (std::size_t i = 0; i < reached; ++i)
                gateways[i].credit += gateways[i].demand / total;
            const auto best = std::max_element(
                gateways.begin(),
                gateways.begin() + std::ptrdiff_t(reached),
                [](const auto& a, const auto& b) {
                    return a.credit < b.credit;
                });
            best->credit -= 1;
            ++given[std::size_t(best - gateways.begin())];
        }
        for (std::size_t i = 0; i < reached; ++i)
            note_grant(gateways[i].permits, {{{server.id, 1, given[i]}}}, now);
    }
};

// The times at which the server gets requests.
std::vector<base::time_point> run(const scenario& plan)
{
    base::random_source random{plan.gateways};
    std::vector<gateway_state> gateways(plan.gateways);
    simple_issuer issuer;
    std::vector<base::time_point> arrivals;
    for (auto now = start; now < start + end_at; now += step) {
        const bool changed = plan.later_limit > 0 && now >= start + change_at;
        const double limit = changed ? plan.later_limit : plan.limit;
        const bool is_cut =
            now >= start + cut_at && now < start + cut_at + plan.cut;
        const auto reached = std::size_t(
            double(plan.gateways) * (is_cut ? 1 - plan.cut_share : 1));
        if (plan.restarts && now == start + restart_at)
            gateways[0] = {};
        if ((now - start) % 100ms == 0ms) {
            for (std::size_t i = 0; i < gateways.size(); ++i) {
                auto& permits = gateways[i].permits;
                if (i < reached)
                    note_statement(permits, {server.id, 1, limit, 0}, now);
                update(permits, std::uint32_t(plan.gateways), random, now);
                const auto demand = report_demand(permits, now);
                gateways[i].demand = demand && !demand->services.empty()
                                         ? demand->services[0].per_second
                                         : 0;
            }
            issuer.issue(gateways, reached, limit, now);
        }
        const double seconds = std::chrono::duration<double>(step).count();
        const double each = plan.load * seconds / double(plan.gateways);
        for (auto& item : gateways) {
            if (random.unit() >= each)
                continue;
            note_arrival(item.permits, "desk", now);
            if (take_permit(item.permits, server, now) == permit_use::missing)
                continue;
            note_answer(item.permits, server, limit, now, now);
            arrivals.push_back(now);
        }
    }
    return arrivals;
}

TEST(limit_simulation, all_gateways_together_keep_the_limit)
{
    for (const auto& plan : std::vector<scenario>{
             {.what = "few", .gateways = 13, .limit = 3.2, .load = 40},
             {.what = "many", .gateways = 105, .limit = 3.2, .load = 400},
             {.what = "much", .gateways = 105, .limit = 40, .load = 400},
             {.what = "below one a second",
             .gateways = 105,
             .limit = 0.4,
             .load = 100},
             {.what = "a restart",
             .gateways = 13,
             .limit = 3.2,
             .load = 40,
             .restarts = true},
             {.what = "control lost",
             .gateways = 105,
             .limit = 10,
             .load = 400,
             .cut = 6s},
             {.what = "control lost by half of the gateways",
             .gateways = 105,
             .limit = 10,
             .load = 400,
             .cut = 20s,
             .cut_share = 0.5},
             {.what = "a lower limit",
             .gateways = 105,
             .limit = 10,
             .load = 400,
             .later_limit = 3},
             {.what = "a higher limit",
             .gateways = 105,
             .limit = 3,
             .load = 400,
             .later_limit = 10}}) {
        const auto arrivals = run(plan);
        double most = 0;
        for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
            while (arrivals[last] - arrivals[first] >= window)
                ++first;
            const double later =
                plan.later_limit > 0 ? plan.later_limit : plan.limit;
            // A window that begins under the old limit has that one.
            const double limit = arrivals[first] < start + change_at
                                     ? std::max(plan.limit, later)
                                     : later;
            const double count = double(last - first + 1);
            EXPECT_LE(count, 1.5 * 4 * limit + 5) << plan.what;
            most = std::max(most, count / (1.5 * 4 * limit + 5));
        }
        const auto used = double(arrivals.size()) / 60;
        std::cout << plan.what << ": " << used << " a second, at most " << most
                  << " of the bound\n";
        // The callers' work is done, too.
        EXPECT_GE(used, 0.3 * std::min(plan.limit, 3.2)) << plan.what;
    }
}

} // namespace
} // namespace oleanderhinge::gateway
