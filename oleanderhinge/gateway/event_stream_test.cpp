#include "oleanderhinge/gateway/event_stream.hpp"

#include <gmock/gmock.h>

namespace oleanderhinge::gateway
{
namespace
{

using testing::ElementsAre;
using testing::IsEmpty;

// Guards against relaying part of an event when a server breaks off.
TEST(event_stream, passes_whole_events_only)
{
    event_position position;
    event_buffer first;
    EXPECT_THAT(take_events(first, position, "id: 1\nda"), IsEmpty());
    EXPECT_THAT(
        take_events(first, position, "ta: a\n\nid: 2\n"),
        ElementsAre("id: 1\ndata: a\n\n"));
    EXPECT_EQ(position.last_id, "1");
    event_buffer second;
    EXPECT_THAT(
        take_events(second, position, "id: 2\ndata: b\n\n"),
        ElementsAre("id: 2\ndata: b\n\n"));
}

// Guards against repeated events after another server has resumed the stream.
TEST(event_stream, drops_events_that_the_caller_has)
{
    event_position position;
    event_buffer first;
    take_events(first, position, "id: 9\ndata: a\n\nid: 10\ndata: b\n\n");
    event_buffer second;
    EXPECT_THAT(
        take_events(second, position, "id: 10\ndata: b\n\nid: 11\ndata: c\n\n"),
        ElementsAre("id: 11\ndata: c\n\n"));
    EXPECT_EQ(position.event_count, 3U);
}

// Guards against events that are never complete because their lines end with
// carriage returns.
TEST(event_stream, takes_lines_with_carriage_returns)
{
    event_position position;
    event_buffer buffer;
    EXPECT_THAT(
        take_events(buffer, position, "id: 1\r\ndata: a\r\n\r\n"),
        ElementsAre("id: 1\r\ndata: a\r\n\r\n"));
    EXPECT_EQ(position.last_id, "1");
}

// Guards against unlimited buffering of an event that never ends.
TEST(event_stream, reports_oversized_events)
{
    event_position position;
    event_buffer buffer;
    take_events(buffer, position, std::string(max_event_bytes + 1, 'x'));
    EXPECT_TRUE(buffer.oversized);
}

} // namespace
} // namespace oleanderhinge::gateway
