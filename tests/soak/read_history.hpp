// Checks that reads of a versioned value are linearizable: none returns a
// version older than one that was acknowledged, or read, before it was sent.
//
// Example:
//   read_history history;
//   history.sent(7);
//   history.acknowledged(7, now);
//   history.read({begin, end, 7, "at control-0"});
//   for (const auto& fault : history.faults()) ...
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace oleanderhinge::tests
{

using history_time = std::chrono::steady_clock::time_point;

struct recorded_read {
    history_time begin;
    history_time end;
    std::uint64_t version = 0;
    std::string where;
};

// Thread-safe.
class read_history
{
public:
    // Before the first byte of the change is sent.
    void sent(std::uint64_t version)
    {
        const std::lock_guard lock(this->mutex);
        this->newest_sent = std::max(this->newest_sent, version);
    }

    void acknowledged(std::uint64_t version, history_time at)
    {
        const std::lock_guard lock(this->mutex);
        this->known.push_back({at, version, "acknowledged"});
        ++this->acknowledged_count;
    }

    // Returns whether the version had been sent.
    bool read(const recorded_read& done)
    {
        const std::lock_guard lock(this->mutex);
        this->reads.push_back(done);
        this->known.push_back({done.end, done.version, "read " + done.where});
        return done.version <= this->newest_sent;
    }

    std::size_t acknowledgments() const
    {
        const std::lock_guard lock(this->mutex);
        return this->acknowledged_count;
    }
    std::size_t read_count() const
    {
        const std::lock_guard lock(this->mutex);
        return this->reads.size();
    }

    // A line for each read of an older version than was known.
    std::vector<std::string> faults() const
    {
        const std::lock_guard lock(this->mutex);
        auto by_time = this->known;
        std::sort(
            by_time.begin(), by_time.end(), [](const auto& a, const auto& b) {
                return a.at < b.at;
            });
        auto by_begin = this->reads;
        std::sort(
            by_begin.begin(), by_begin.end(), [](const auto& a, const auto& b) {
                return a.begin < b.begin;
            });
        std::vector<std::string> found;
        evidence best;
        auto next = by_time.begin();
        for (const auto& each : by_begin) {
            for (; next != by_time.end() && next->at < each.begin; ++next)
                if (next->version > best.version)
                    best = *next;
            if (each.version < best.version)
                found.push_back(
                    "version " + std::to_string(each.version) + " read " +
                    each.where + ", but " + std::to_string(best.version) +
                    " was " + best.how + " " +
                    std::to_string(
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            each.begin - best.at)
                            .count()) +
                    " ms before the read was sent");
        }
        return found;
    }

private:
    struct evidence {
        history_time at;
        std::uint64_t version = 0;
        std::string how;
    };

    mutable std::mutex mutex;
    std::uint64_t newest_sent = 0;
    std::size_t acknowledged_count = 0;
    std::vector<evidence> known;
    std::vector<recorded_read> reads;
};

} // namespace oleanderhinge::tests
