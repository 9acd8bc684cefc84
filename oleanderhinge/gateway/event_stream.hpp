// Splits the body of a server-sent event stream into complete events and
// records the last event id, after which another server can resume the stream.
//
// An answer has a buffer of its own, while the position belongs to the caller's
// request, whose answer may come from several servers in turn.
//
// Example:
//   event_position position;
//   event_buffer buffer;
//   for (auto& event : take_events(buffer, position, bytes)) write(event);
//   resume_after(position.last_id);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::gateway
{

// Limit on a buffered incomplete event. Events of engines are shorter.
inline constexpr std::size_t max_event_bytes = std::size_t(1) << 20;

// What was taken of a request's stream, over all of its answers.
struct event_position {
    // Id of the last event that was taken and has one; empty: none.
    std::string last_id;
    std::uint64_t event_count = 0;
};

// What one answer holds beyond its last complete event.
struct event_buffer {
    // Bytes of an event whose end has not arrived.
    std::string partial;
    // What follows is no event: a line that is no field, such as the head or
    // the text of another answer, or more than `max_event_bytes` without an
    // end.
    bool malformed = false;
};

// Appends bytes of an answer and returns the events that are complete, each
// with its empty last line. Drops an event whose numeric id is not above
// `last_id`: a server that resumes a stream may begin with an event that the
// caller has received. Takes nothing more once the buffer is malformed.
std::vector<std::string> take_events(
    event_buffer& buffer, event_position& position, std::string_view bytes);

} // namespace oleanderhinge::gateway
