// Guards against acknowledged records, votes or snapshots that a stop at any
// operation loses, and against damage that is read as data.
#include "oleanderhinge/storage/log_store.hpp"
#include "oleanderhinge/storage/memory_file_system.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <functional>

#include <unistd.h>

namespace oleanderhinge::storage
{
namespace
{

using base::incarnation;
using base::log_index;
using base::term;

constexpr incarnation disk{77};
// Small, so that the script below fills several segments.
constexpr store_options small_segments{200};

// What a folder holds, as the caller was told.
struct contents {
    storage::vote vote;
    std::optional<storage::snapshot> snapshot;
    std::vector<record> records;

    bool operator==(const contents&) const = default;
};

record make_record(std::uint64_t index, std::uint64_t of_term)
{
    return {
        log_index{index},
        term{of_term},
        0,
        "record " + std::to_string(index) + " of " + std::to_string(of_term)};
}

// One call to the store and its effect on the contents.
struct operation {
    std::function<base::result<void>(log_store&)> run;
    std::function<void(contents&)> effect;
    // Repeats the call after `repair`; by default `run`.
    std::function<base::result<void>(log_store&)> repeat;
};

operation append(std::uint64_t from, std::uint64_t to, std::uint64_t of_term)
{
    return {
        [=](log_store& store) {
            store.truncate_from(log_index{from});
            for (auto i = from; i <= to; ++i)
                store.append(make_record(i, of_term));
            return store.sync();
        },
        [=](contents& c) {
            std::erase_if(c.records, [&](const record& r) {
                return r.index.value() >= from;
            });
            for (auto i = from; i <= to; ++i)
                c.records.push_back(make_record(i, of_term));
        },
        // The records are collected already.
        [](log_store& store) { return store.sync(); }};
}

operation vote_for(std::uint64_t of_term, const char* vm)
{
    const vote v{term{of_term}, base::vm_id{vm}};
    return {
        [=](log_store& store) { return store.save_vote(v); },
        [=](contents& c) { c.vote = v; },
        {}};
}

operation snapshot_at(std::uint64_t last, std::uint64_t of_term, bool install)
{
    const snapshot s{
        log_index{last}, term{of_term}, "state " + std::to_string(last)};
    return {
        [=](log_store& store) {
            return install ? store.install_snapshot(s) : store.save_snapshot(s);
        },
        [=](contents& c) {
            c.snapshot = s;
            std::erase_if(c.records, [&](const record& r) {
                return install || r.index <= s.last;
            });
        },
        {}};
}

// Covers segments, truncation across segments, snapshots and an installation
// over a log with other entries.
std::vector<operation> script()
{
    return {
        vote_for(1, "a"),          append(1, 3, 1),
        append(4, 9, 1),           append(10, 14, 1),
        vote_for(2, "b"),          append(6, 8, 2),
        append(9, 9, 2),           snapshot_at(7, 2, false),
        append(10, 20, 2),         append(21, 30, 2),
        snapshot_at(25, 2, false), append(31, 31, 3),
        snapshot_at(30, 4, true),  append(31, 36, 4),
        snapshot_at(50, 5, true),  append(51, 53, 5),
        append(54, 58, 5),         append(59, 63, 5),
        append(64, 70, 5),         snapshot_at(68, 5, false),
        append(71, 71, 5),
    };
}

struct outcome {
    contents found;
    std::string error;
    incarnation found_disk;
    std::uint64_t cut_bytes = 0;
};

// Opens the folder and runs operations until one fails. `before` and `after`
// are the contents around the last operation that was started.
outcome open_and_run(
    file_system& files,
    const std::vector<operation>& operations,
    contents& before,
    contents& after)
{
    outcome out;
    base::handle(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(
                opened, log_store::open(files, small_segments, disk));
            out.found = {
                opened.state.vote, opened.state.snapshot, opened.state.records};
            out.found_disk = opened.state.disk;
            out.cut_bytes = opened.state.cut_bytes;
            for (const auto& o : operations) {
                before = after;
                o.effect(after);
                BOOST_LEAF_CHECK(o.run(*opened.store));
            }
            before = after;
            return {};
        },
        [&](const base::error& e) { out.error = e.detail; });
    return out;
}

outcome reopen(file_system& files)
{
    contents none;
    contents unused;
    return open_and_run(files, {}, none, unused);
}

std::uint64_t count_operations()
{
    memory_file_system files;
    contents before;
    contents after;
    EXPECT_EQ(open_and_run(files, script(), before, after).error, "");
    EXPECT_EQ(reopen(files).found, after);
    return files.operations();
}

// Runs the script with a stop after `stop`, then loses power.
void run_and_crash(
    memory_file_system& files,
    std::uint64_t stop,
    unsynced mode,
    base::random_source& random,
    contents& before,
    contents& after)
{
    files.stop_after(stop);
    open_and_run(files, script(), before, after);
    files.crash(mode, random);
}

struct crash_case {
    unsynced mode;
    std::uint64_t repetitions;
};
constexpr crash_case crash_cases[] = {
    {unsynced::lost, 1}, {unsynced::kept, 1}, {unsynced::random, 40}};

// A stop after every single write, sync, rename, creation and removal.
TEST(log_store, a_stop_at_any_operation_keeps_what_was_acknowledged)
{
    const auto total = count_operations();
    ASSERT_GT(total, 80u);
    for (std::uint64_t stop = 0; stop <= total; ++stop) {
        for (const auto& c : crash_cases) {
            for (std::uint64_t seed = 0; seed < c.repetitions; ++seed) {
                memory_file_system files;
                base::random_source random(seed);
                contents before;
                contents after;
                run_and_crash(files, stop, c.mode, random, before, after);
                auto got = reopen(files);
                ASSERT_EQ(got.error, "") << "stop " << stop << " seed " << seed;
                ASSERT_TRUE(got.found == before || got.found == after)
                    << "stop " << stop << " seed " << seed;
                // What a start showed is durable from then on.
                files.crash(unsynced::random, random);
                ASSERT_EQ(reopen(files).found, got.found)
                    << "stop " << stop << " seed " << seed;
                const auto next =
                    got.found.records.empty()
                        ? (got.found.snapshot
                               ? got.found.snapshot->last.value() + 1
                               : 1)
                        : got.found.records.back().index.value() + 1;
                auto expected = got.found;
                contents unused;
                open_and_run(files, {append(next, next, 9)}, unused, expected);
                files.crash(unsynced::lost, random);
                const auto again = reopen(files);
                ASSERT_EQ(again.error, "") << "stop " << stop;
                ASSERT_EQ(again.found, expected)
                    << "stop " << stop << " seed " << seed;
            }
        }
    }
}

// A second stop during the recovery from the first one.
TEST(log_store, a_stop_during_recovery_keeps_what_was_acknowledged)
{
    const auto total = count_operations();
    for (std::uint64_t stop = 0; stop <= total; ++stop) {
        for (std::uint64_t second = 0; second < 240; ++second) {
            memory_file_system files;
            base::random_source random(stop * 1000 + second);
            contents before;
            contents after;
            const auto first =
                second % 2 == 0 ? unsynced::kept : unsynced::random;
            run_and_crash(files, stop, first, random, before, after);
            files.stop_after(files.operations() + second / 20);
            reopen(files);
            files.crash(unsynced::random, random);
            const auto got = reopen(files);
            ASSERT_EQ(got.error, "") << "stop " << stop << ", " << second;
            ASSERT_TRUE(got.found == before || got.found == after)
                << "stop " << stop << ", " << second;
        }
    }
}

// Every byte of every file is damaged in turn. Only the last batch of the last
// segment may be taken for a torn write.
TEST(log_store, damage_is_refused_with_its_place)
{
    memory_file_system files;
    contents before;
    contents after;
    const auto all = script();
    const std::vector<operation> part(all.begin(), all.begin() + 12);
    ASSERT_EQ(open_and_run(files, part, before, after).error, "");
    base::handle(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(names, files.list());
            std::size_t cut = 0;
            for (const auto& name : names) {
                BOOST_LEAF_AUTO(intact, files.read(name));
                for (std::size_t i = 0; i < intact.size(); ++i) {
                    auto damaged = intact;
                    damaged[i] = char(damaged[i] ^ 0x40);
                    files.overwrite(name, damaged);
                    const auto got = reopen(files);
                    if (!got.error.empty()) {
                        EXPECT_TRUE(got.error.starts_with(name + " at offset"))
                            << got.error;
                        continue;
                    }
                    EXPECT_EQ(name, names[names.size() - 4]);
                    EXPECT_GT(got.cut_bytes, 0u);
                    contents kept = after;
                    kept.records.pop_back();
                    EXPECT_EQ(got.found, kept);
                    ++cut;
                }
                files.overwrite(name, intact);
            }
            // Exactly the bytes of the last batch.
            EXPECT_EQ(cut, encode_batch(1, 0, {after.records.back()}).size());
            return {};
        },
        [](const base::error& e) { ADD_FAILURE() << e.detail; });
}

TEST(log_store, a_missing_identity_beside_other_files_is_refused)
{
    memory_file_system files;
    contents before;
    contents after;
    open_and_run(files, script(), before, after);
    base::handle(
        [&]() -> base::result<void> { return files.remove("member"); },
        [](const base::error& e) { ADD_FAILURE() << e.detail; });
    EXPECT_TRUE(reopen(files).error.starts_with("member at offset 0: missing"))
        << reopen(files).error;
}

// A failed sync may have dropped the dirty pages; a second one would succeed
// without having written them.
TEST(log_store, nothing_works_after_a_failed_sync)
{
    memory_file_system files;
    base::handle(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(
                opened, log_store::open(files, small_segments, disk));
            opened.store->append(make_record(1, 1));
            BOOST_LEAF_CHECK(opened.store->sync());
            files.fail_next_sync();
            opened.store->append(make_record(2, 1));
            EXPECT_FALSE(opened.store->sync());
            opened.store->append(make_record(2, 1));
            EXPECT_FALSE(opened.store->sync());
            EXPECT_FALSE(opened.store->save_vote({}));
            EXPECT_FALSE(opened.store->save_snapshot({}));
            return {};
        },
        [](const base::error& e) { ADD_FAILURE() << e.detail; });
}

// Returns false if the disk was full.
bool succeeds(const std::function<base::result<void>()>& call)
{
    return base::handle(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(call());
            return true;
        },
        [](const base::error& e) {
            EXPECT_EQ(e.code, base::error_code::no_space) << e.detail;
            return false;
        });
}

// Runs an operation on a full disk, which gets room after the first attempt.
// Before that, the power may be lost with what the caller was told.
void run_with_full_disk(
    memory_file_system& files, log_store& store, const operation& o)
{
    files.set_full(true);
    const bool refused = !succeeds([&] { return o.run(store); });
    if (refused) {
        // The disk is still full.
        EXPECT_FALSE(succeeds([&]() -> base::result<void> {
            BOOST_LEAF_CHECK(store.repair());
            return o.repeat ? o.repeat(store) : o.run(store);
        }));
    }
    files.set_full(false);
    if (refused) {
        EXPECT_TRUE(succeeds([&]() -> base::result<void> {
            BOOST_LEAF_CHECK(store.repair());
            return o.repeat ? o.repeat(store) : o.run(store);
        }));
    }
}

// The disk is full at each single operation of the script, with and without a
// loss of power after it. Guards against torn batches in the middle of the log
// and against records that are lost although the disk has room again.
TEST(log_store, a_disk_that_was_full_keeps_everything)
{
    const auto operations = script();
    for (std::size_t full_at = 0; full_at < operations.size(); ++full_at) {
        memory_file_system files;
        contents expected;
        base::handle(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(
                    opened, log_store::open(files, small_segments, disk));
                for (std::size_t i = 0; i < operations.size(); ++i) {
                    operations[i].effect(expected);
                    if (i == full_at)
                        run_with_full_disk(files, *opened.store, operations[i]);
                    else
                        BOOST_LEAF_CHECK(operations[i].run(*opened.store));
                }
                return {};
            },
            [&](const base::error& e) { ADD_FAILURE() << e.detail; });
        base::random_source random(full_at);
        files.crash(unsynced::lost, random);
        const auto got = reopen(files);
        ASSERT_EQ(got.error, "") << "full at " << full_at;
        ASSERT_EQ(got.found, expected) << "full at " << full_at;
    }
}

// Power is lost while the disk is full.
TEST(log_store, a_power_loss_on_a_full_disk_keeps_what_was_acknowledged)
{
    const auto operations = script();
    for (std::size_t full_at = 0; full_at < operations.size(); ++full_at)
        for (std::uint64_t seed = 0; seed < 40; ++seed) {
            memory_file_system files;
            contents before;
            contents after;
            base::handle(
                [&]() -> base::result<void> {
                    BOOST_LEAF_AUTO(
                        opened, log_store::open(files, small_segments, disk));
                    for (std::size_t i = 0; i <= full_at; ++i) {
                        before = after;
                        operations[i].effect(after);
                        files.set_full(i == full_at);
                        BOOST_LEAF_CHECK(operations[i].run(*opened.store));
                    }
                    return {};
                },
                [](const base::error&) {});
            base::random_source random(seed);
            files.crash(unsynced::random, random);
            const auto got = reopen(files);
            ASSERT_EQ(got.error, "") << full_at << " seed " << seed;
            ASSERT_TRUE(got.found == before || got.found == after)
                << full_at << " seed " << seed;
        }
}

TEST(log_store, real_files_keep_the_contents)
{
    const auto folder = std::filesystem::path(testing::TempDir()) /
                        ("log_store_" + std::to_string(::getpid()));
    std::filesystem::create_directory(folder);
    const auto files = make_posix_file_system(folder.string());
    contents before;
    contents after;
    EXPECT_EQ(open_and_run(*files, script(), before, after).error, "");
    const auto got = reopen(*files);
    EXPECT_EQ(got.error, "");
    EXPECT_EQ(got.found, after);
    EXPECT_EQ(got.found_disk, disk);
    std::filesystem::remove_all(folder);
}

} // namespace
} // namespace oleanderhinge::storage
