// Guards against a planned stop that accepts streams and cuts them off, and
// against one that refuses streams which would end in time.
#include "oleanderhinge/gateway/stream_times.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::gateway
{
namespace
{

using namespace std::chrono_literals;

const base::time_point start{100s};

TEST(stream_times, long_streams_are_accepted_only_if_they_end_in_time)
{
    stream_times times;
    EXPECT_TRUE(ends_before(times, start, start + 1s));
    note_duration(times, start, start + 4s);
    const auto signal = start + 4s;
    const auto end = signal + 7500ms;
    EXPECT_TRUE(ends_before(times, signal + 2s, end));
    EXPECT_FALSE(ends_before(times, signal + 5s, end));
    // An overload: streams take 10 s.
    note_duration(times, start - 6s, start + 4s);
    EXPECT_FALSE(ends_before(times, signal, end));
}

TEST(stream_times, a_long_stream_is_forgotten)
{
    stream_times times;
    note_duration(times, start, start + 10s);
    note_duration(times, start + 69s, start + 70s);
    EXPECT_TRUE(ends_before(times, start + 70s, start + 72s));
}

} // namespace
} // namespace oleanderhinge::gateway
