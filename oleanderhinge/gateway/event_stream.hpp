// Splits the body of an event stream into whole events and keeps the place at
// which another server could continue.
//
// Example:
//   event_stream relay;
//   for (auto& event : take_events(relay, bytes)) write(event);
//   relay.last_id;  // of the last whole event
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::gateway
{

// Largest event that is held; a longer one is not an event of an engine.
inline constexpr std::size_t largest_event = std::size_t(1) << 20;

struct event_stream {
    // The beginning of an event whose end has not arrived.
    std::string partial;
    // Id of the last event that was taken; empty: none had one.
    std::string last_id;
    std::uint64_t event_count = 0;
    // An event was longer than `largest_event`.
    bool oversized = false;
};

// Adds bytes and returns the whole events, each with its empty last line. An
// event whose numeric id is not above the last one is dropped: a server that
// continues a stream may begin with an event that the caller has.
std::vector<std::string>
take_events(event_stream& stream, std::string_view bytes);

// Forgets an unfinished event, before another server continues.
void discard_partial_event(event_stream& stream);

} // namespace oleanderhinge::gateway
