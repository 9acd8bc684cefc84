// Guards against timing settings that contradict each other, and against a
// documented example that the program does not accept.
#include "oleanderhinge/settings/timing.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace oleanderhinge::settings
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string folder =
    OLEANDERHINGE_SOURCE_DIR "/oleanderhinge/settings/testdata/";

std::string fault_of(const timing& times)
{
    return base::handle(
        [&]() -> base::result<std::string> {
            BOOST_LEAF_CHECK(check_timing(times));
            return std::string("accepted");
        },
        [](const base::error& e) { return e.detail; });
}

TEST(timing, defaults_hold_all_relations)
{
    EXPECT_EQ(fault_of(timing{}), "accepted");
}

// Each case breaks one relation at its limit.
TEST(timing, each_broken_relation_names_both_settings_and_values)
{
    struct broken {
        base::duration timing::*member;
        base::duration value;
        const char* message;
    };
    const broken cases[] = {
        {&timing::link_busy_silence,
         milliseconds(749),
         "link.busy_heartbeat = 250ms, times 3, must not exceed "
         "link.busy_silence = 749ms"},
        {&timing::link_idle_silence,
         milliseconds(9999),
         "link.idle_heartbeat = 5s, times 2, must not exceed "
         "link.idle_silence = 9999ms"},
        {&timing::server_lease,
         seconds(2),
         "announce.interval = 1s, times 2, must be below "
         "announce.server_lease = 2s"},
        {&timing::raft_heartbeat,
         milliseconds(234),
         "raft.heartbeat = 234ms, times 3, must be below raft.leader_lease = "
         "700ms"},
        {&timing::margin,
         milliseconds(300),
         "raft.leader_lease = 700ms plus raft.margin = 300ms must be below "
         "raft.election_timeout_min = 1s"},
        {&timing::election_timeout_max,
         milliseconds(999),
         "raft.election_timeout_min = 1s must not exceed "
         "raft.election_timeout_max = 999ms"},
        {&timing::config_lease,
         seconds(3),
         "config.confirm_interval = 1s, times 3, must be below config.lease = "
         "3s"},
        {&timing::config_lease,
         seconds(19),
         "config.lease = 19s must be below the limit of 19s in which a change "
         "is in force everywhere"},
    };
    for (const auto& c : cases) {
        timing times;
        times.*c.member = c.value;
        EXPECT_EQ(fault_of(times), c.message);
    }
}

TEST(timing, the_limits_of_the_relations_are_accepted)
{
    timing times;
    times.link_busy_silence = milliseconds(750);
    times.link_idle_silence = seconds(10);
    times.server_lease = milliseconds(2001);
    times.raft_heartbeat = milliseconds(233);
    times.margin = milliseconds(299);
    times.election_timeout_max = milliseconds(1000);
    times.config_lease = milliseconds(18999);
    EXPECT_EQ(fault_of(times), "accepted");
}

// The example file states every key with its default.
TEST(timing, documented_example_loads_and_equals_the_defaults)
{
    base::handle(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(v, load(folder + "timing.ini", timing_keys()));
            EXPECT_EQ(load_timing(v), timing{});
            for (const auto& k : timing_keys())
                EXPECT_EQ(v.text(k.section + "." + k.name), k.fallback);
            return {};
        },
        [](const base::error& e) { ADD_FAILURE() << e.detail; });
}

TEST(timing, documented_table_is_the_golden_file)
{
    std::ifstream in(folder + "timing_keys.golden.md");
    std::ostringstream golden;
    golden << in.rdbuf();
    EXPECT_EQ(document(timing_keys()), golden.str());
}

} // namespace
} // namespace oleanderhinge::settings
