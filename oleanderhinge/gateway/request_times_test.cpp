// Guards against a planned stop that accepts requests and cuts them off, and
// against one that refuses requests which would end in time.
#include "oleanderhinge/gateway/request_times.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::gateway
{
namespace
{

using namespace std::chrono_literals;

const base::time_point start{100s};

void note_answered(
    request_times& times, base::time_point started, base::time_point ended)
{
    note_request_started(times, started);
    note_request_ended(times, started, ended, true);
}

bool ends_before(
    const request_times& times, base::time_point now, base::time_point limit)
{
    return now + expected_duration(times, 1s, now) < limit;
}

// Guards against a stop that takes long requests and cuts them off.
TEST(request_times, long_requests_are_accepted_only_if_they_end_in_time)
{
    request_times times;
    EXPECT_TRUE(ends_before(times, start, start + 1100ms));
    note_answered(times, start, start + 4s);
    const auto signal = start + 4s;
    const auto end = signal + 7500ms;
    EXPECT_TRUE(ends_before(times, signal + 2s, end));
    EXPECT_FALSE(ends_before(times, signal + 5s, end));
    // An overload: streams take 10 s.
    note_answered(times, start - 6s, start + 4s);
    EXPECT_FALSE(ends_before(times, signal, end));
}

// Guards against refusals for minutes after one long request.
TEST(request_times, a_long_request_is_forgotten)
{
    request_times times;
    note_answered(times, start, start + 10s);
    note_answered(times, start + 69s, start + 70s);
    EXPECT_TRUE(ends_before(times, start + 70s, start + 72s));
}

// Guards against requests that are taken for instant ones: when none was
// answered yet, or none for long.
TEST(request_times, unknown_durations_are_not_zero)
{
    request_times times;
    EXPECT_EQ(expected_duration(times, 3s, start), 3s);
    note_answered(times, start, start + 2s);
    EXPECT_EQ(expected_duration(times, 3s, start + 600s), 2s);
}

// Guards against a slow service that looks fast while its requests have not
// ended, and against one unresponsive server that makes its service look slow.
TEST(request_times, requests_in_progress_count_unless_later_ones_were_answered)
{
    request_times times;
    note_request_started(times, start);
    EXPECT_EQ(expected_duration(times, 1s, start + 5s), 5s);
    note_answered(times, start + 4s, start + 5s);
    EXPECT_EQ(expected_duration(times, 1s, start + 6s), 1s);
    // The service becomes slow.
    note_request_started(times, start + 6s);
    EXPECT_EQ(expected_duration(times, 1s, start + 12s), 6s);
    note_request_ended(times, start + 6s, start + 12s, false);
    EXPECT_EQ(expected_duration(times, 1s, start + 12s), 6s);
    note_request_ended(times, start, start + 20s, false);
    EXPECT_LT(expected_duration(times, 1s, start + 20s), 6s);
}

// Guards against a presumed time that ignores what operators state, and against
// one out of range.
TEST(request_times, operators_state_what_requests_take_without_load)
{
    wire::forwarding_route route;
    wire::forwarding_service service;
    EXPECT_EQ(presumed_duration(route, service), least_presumed_duration);
    route.target_latency_ms = 1500;
    EXPECT_EQ(presumed_duration(route, service), 1500ms);
    route.streaming = true;
    auto& engine = service.engine.emplace();
    engine.usual_answer_tokens = 200;
    engine.step_ms = 10;
    engine.step_ms_per_request = 2.5;
    EXPECT_EQ(presumed_duration(route, service), 4000ms);
    engine.step_ms = 1e300;
    EXPECT_EQ(presumed_duration(route, service), 1h);
}

} // namespace
} // namespace oleanderhinge::gateway
