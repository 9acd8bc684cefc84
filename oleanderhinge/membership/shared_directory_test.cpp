// Guards against a sharded directory that differs from the unsharded one, that
// returns a snapshot older than a completed change, or that has data races.
#include "oleanderhinge/membership/shared_directory.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>

namespace oleanderhinge::membership
{
namespace
{

using std::chrono::seconds;

const base::time_point start{seconds(1000)};

wire::announcement announce(int server, std::uint64_t sequence)
{
    wire::announcement a;
    a.server = base::backend_server_id{"s" + std::to_string(server)};
    a.agent_incarnation = base::incarnation{1};
    a.sequence = sequence;
    a.state = wire::server_state::serving;
    a.model = base::model_id{"hinge"};
    a.load.limit = 8;
    a.highest_config = base::revision{sequence};
    return a;
}

wire::directory_update heartbeats(int count)
{
    wire::directory_update batch;
    for (int i = 0; i < count; ++i) {
        const auto a = announce(i, 1);
        batch.alive.push_back(
            {heartbeat_key(a.server, a.agent_incarnation), 0, 8});
    }
    batch.alive.push_back({1, 0, 0});
    return batch;
}

TEST(shared_directory, equals_the_plain_directory)
{
    directory plain;
    shared_directory shared(directory_options{}, 4);
    const auto batch = heartbeats(60);
    for (std::uint64_t step = 1; step <= 6; ++step) {
        const auto now = start + seconds(step);
        for (int i = int(step); i < 50; ++i) {
            const auto a = announce(i, step);
            EXPECT_EQ(
                shared.apply_announcement(a, now),
                apply_announcement(plain, a, now));
        }
        auto passed_on = batch;
        passed_on.changed = {announce(50 + int(step), step)};
        passed_on.ages_ms = {500};
        EXPECT_EQ(
            shared.apply_update(passed_on, now),
            apply_update(plain, passed_on, now));
        // Server 0, those of 50 to 59 not yet relayed, and key 1.
        EXPECT_EQ(shared.count_unknown_heartbeats(batch), 12 - step);
        EXPECT_EQ(shared.expire(now).size(), expire(plain, now).size());
        EXPECT_EQ(size(*shared.snapshot()), plain.servers.size());
        EXPECT_EQ(shared.size(), plain.servers.size());
    }
    const auto now = start + seconds(6);
    for (const auto& entry : live_servers(*shared.snapshot(), now)) {
        const auto& other = *plain.servers.at(entry->last.server);
        EXPECT_EQ(entry->expires, other.expires);
        EXPECT_EQ(entry->last.load, other.last.load);
        EXPECT_EQ(find(*shared.snapshot(), entry->last.server), entry);
    }
    EXPECT_EQ(shared.highest_config(), plain.highest_config);
    EXPECT_EQ(
        shared.counters().unknown_heartbeat, plain.counters.unknown_heartbeat);
}

TEST(shared_directory, snapshot_without_a_change_is_the_same_object)
{
    shared_directory shared(directory_options{}, 4);
    shared.apply_announcement(announce(1, 1), start);
    const auto first = shared.snapshot();
    EXPECT_EQ(shared.snapshot(), first);
    shared.apply_announcement(announce(1, 2), start);
    const auto second = shared.snapshot();
    std::size_t shared_parts = 0;
    for (std::size_t i = 0; i < first->parts.size(); ++i)
        shared_parts += first->parts[i] == second->parts[i] ? 1u : 0u;
    EXPECT_EQ(shared_parts, 3u) << "only the changed shard is rebuilt";
    EXPECT_EQ(first->parts.size(), 4u);
}

// Each writer announces its own server. A reader must see at least the changes
// that a writer has completed, and sequences must not decrease.
TEST(shared_directory, readers_never_go_back_while_others_write)
{
    constexpr int writers = 3;
    constexpr std::uint64_t rounds = 300;
    shared_directory shared(directory_options{}, 4);
    std::atomic<std::uint64_t> done[writers] = {};
    std::atomic<int> running{writers};
    std::vector<std::thread> threads;
    for (int w = 0; w < writers; ++w)
        threads.emplace_back([&, w] {
            for (std::uint64_t s = 1; s <= rounds; ++s) {
                shared.apply_announcement(announce(w, s), start);
                done[w] = s;
                shared.apply_update(heartbeats(writers), start);
                shared.expire(start);
            }
            --running;
        });
    std::atomic<int> faults{0};
    for (int r = 0; r < 2; ++r)
        threads.emplace_back([&] {
            std::uint64_t last[writers] = {};
            while (running > 0)
                for (int w = 0; w < writers; ++w) {
                    const std::uint64_t finished = done[w];
                    const auto view = shared.snapshot();
                    const auto entry = find(*view, announce(w, 1).server);
                    const auto seen = entry ? entry->last.sequence : 0;
                    if (seen < finished || seen < last[w])
                        ++faults;
                    last[w] = seen;
                }
        });
    for (auto& thread : threads)
        thread.join();
    EXPECT_EQ(faults, 0);
    EXPECT_EQ(shared.highest_config(), base::revision{rounds});
}

} // namespace
} // namespace oleanderhinge::membership
