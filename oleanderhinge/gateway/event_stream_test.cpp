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

// Each row: bytes behind the first event. Guards against the text or the head
// of another answer that is relayed as an event.
TEST(event_stream, takes_nothing_that_is_no_event)
{
    struct row {
        const char* bytes;
        bool taken;
    };
    for (const auto& [bytes, taken] : {
             row{"id: 2\ndata: b\n\n", true},
             row{"weight_version: 3\nid: 2\ndata:b\n\n", true},
             row{": comment\n\n", true},
             row{"data\n\n", true},
             row{"HTTP/1.1 200 OK\r\nId: r0\r\n\r\n", false},
             row{"id: 2\ndaHTTP/1.1 503 Full\r\nId: r0\r\n\r\n", false},
             row{"id: 2\ndata: bHTTP/1.1 503 Full\r\nId: r0\r\n\r\n", false},
             row{"id: HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", false},
             row{"id: 2\ndata: HTTP/1.1 200 OK\ndata: b\n\n", true},
             row{"id: 2\r\ndata: HTTP/1.1 200 OK\r\n\r\n", true},
             row{"0\r\n\r\n", false},
             row{"out of memory\n\n", false},
             row{"{\"error\": \"x\"}\n\n", false},
         }) {
        event_position position;
        event_buffer buffer;
        const auto events = take_events(
            buffer, position, "id: 1\ndata: a\n\n" + std::string(bytes));
        EXPECT_EQ(events.size(), taken ? 2U : 1U) << bytes;
        EXPECT_EQ(buffer.malformed, !taken) << bytes;
        EXPECT_EQ(
            take_events(buffer, position, "id: 3\ndata: c\n\n").size(),
            taken ? 1U : 0U)
            << bytes;
    }
}

// Guards against unlimited buffering of an event that never ends.
TEST(event_stream, reports_oversized_events)
{
    event_position position;
    event_buffer buffer;
    take_events(buffer, position, std::string(max_event_bytes + 1, 'x'));
    EXPECT_TRUE(buffer.malformed);
}

} // namespace
} // namespace oleanderhinge::gateway
