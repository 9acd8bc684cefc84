// Splits the body of a server-sent event stream into complete events and
// records the last event id, after which another server can resume the stream.
//
// Example:
//   event_stream stream;
//   for (auto& event : take_events(stream, bytes)) write(event);
//   resume_after(stream.last_id);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::gateway
{

// Limit on a buffered incomplete event. Events of engines are shorter.
inline constexpr std::size_t max_event_bytes = std::size_t(1) << 20;

struct event_stream {
    // Bytes of an event whose end has not arrived.
    std::string partial;
    // Id of the last event that was taken and has one; empty: none.
    std::string last_id;
    std::uint64_t event_count = 0;
    // The incomplete event is longer than `max_event_bytes`.
    bool oversized = false;
};

// Appends bytes and returns the events that are complete, each with its empty
// last line. Drops an event whose numeric id is not above `last_id`: a server
// that resumes a stream may begin with an event that the caller has received.
std::vector<std::string>
take_events(event_stream& stream, std::string_view bytes);

// Discards an incomplete event. Call it before another server resumes the
// stream.
void discard_partial_event(event_stream& stream);

} // namespace oleanderhinge::gateway
