#include "oleanderhinge/gateway/settings.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::gateway
{
namespace
{

base::result<gateway_settings> load_with(const std::string& lines)
{
    const std::string required = "[node]\nvm=g1\nregion=r\ndata_centre=d\n"
                                 "cluster_secret=0123456789abcdef\n"
                                 "[gateway]\nlisten=127.0.0.1:1\n"
                                 "[control]\nseeds=127.0.0.1:2\nlink_port=3\n"
                                 "[management]\nlisten=127.0.0.1:4\n";
    BOOST_LEAF_AUTO(
        checked, settings::parse(required + lines, gateway_keys(), "test"));
    return load_settings(checked);
}

// Guards against a limit on back-offs that nobody has set, and against settings
// files with a limit that no longer load or that lose it.
TEST(gateway_settings, backoffs_are_limited_only_on_request)
{
    struct row {
        const char* lines;
        // Zero: refused.
        base::duration limit;
    };
    const std::vector<row> rows{
        {"", no_backoff_limit},
        {"[servers]\nmax_backoff=1min\n", std::chrono::minutes(1)},
        {"[servers]\nmax_backoff=10min\n", std::chrono::minutes(10)},
        {"[servers]\nmax_backoff=0s\n", {}},
        {"[servers]\nmax_backoff=11min\n", {}}};
    for (const auto& row : rows) {
        const auto limit = base::handle(
            [&]() -> base::result<base::duration> {
                BOOST_LEAF_AUTO(chosen, load_with(row.lines));
                return chosen.max_backoff;
            },
            [](const base::error&) -> base::duration { return {}; });
        EXPECT_EQ(limit, row.limit) << row.lines;
    }
}

// Guards against second attempts that no operator has allowed, and against
// limits in another window than that of the retries.
TEST(gateway_settings, hedges_are_made_only_on_request)
{
    struct row {
        const char* lines;
        bool allowed;
        double share;
        double slack;
    };
    const std::vector<row> rows{
        {"", false, 0, 0},
        {"[hedging]\nshare=0.05\n", true, 0.05, 0},
        {"[hedging]\nslack=120\n", true, 0, 120},
        // Out of range.
        {"[hedging]\nshare=0.6\n", false, 0, 0}};
    for (const auto& row : rows) {
        const auto limits = base::handle(
            [&]() -> base::result<retry::shared_budget_options> {
                BOOST_LEAF_AUTO(
                    chosen,
                    load_with(
                        std::string("[retries]\nwindow=4s\n") + row.lines));
                return chosen.hedges;
            },
            [](const base::error&) -> retry::shared_budget_options {
                return {.request_share = 0, .slack = 0};
            });
        EXPECT_EQ(allows_hedges(limits), row.allowed) << row.lines;
        EXPECT_EQ(limits.request_share, row.share) << row.lines;
        EXPECT_EQ(limits.slack, row.slack) << row.lines;
        if (row.allowed) {
            EXPECT_EQ(limits.window, std::chrono::seconds(4)) << row.lines;
        }
    }
}

} // namespace
} // namespace oleanderhinge::gateway
