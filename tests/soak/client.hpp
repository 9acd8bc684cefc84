// A client of the soak, which keeps its connection until a gateway closes it.
//
// Example:
//   for (const auto& sent : run_client(place, 1, "c1", 15, stop)) check(sent);
#pragma once

#include "tests/harness/http_connection.hpp"
#include "tests/soak/site.hpp"

#include <optional>
#include <random>

namespace oleanderhinge::tests
{

struct sent_request {
    std::string id;
    std::size_t kind = 0;
    std::size_t gateway = 0;
    std::size_t body_size = 0;
    milliseconds begin{};
    // When the last byte was written; empty if the connection broke before.
    std::optional<milliseconds> whole;
    milliseconds end{};
    http_reply reply;
};

inline int draw(std::mt19937& random, int from, int to)
{
    return std::uniform_int_distribution(from, to)(random);
}

// In pieces, with a length or in chunks, some of them slowly. `time`: of the
// answer, in milliseconds.
inline bool write_request(
    http_connection& to,
    const sent_request& sent,
    int time,
    std::mt19937& random)
{
    const bool chunked = draw(random, 0, 1) == 1;
    const auto length = "Content-Length: " + std::to_string(sent.body_size);
    std::ostringstream head;
    head << "POST /" << kinds[sent.kind] << "/" << time << "/x HTTP/1.1\r\n";
    for (const auto& field : fields("request.txt", {{"id", sent.id}}))
        head << field.name << ": " << field.value << "\r\n";
    head << (chunked ? "Transfer-Encoding: chunked" : length) << "\r\n\r\n";
    bool written = to.write(head.str());
    const auto pieces = std::size_t(draw(random, 1, 5));
    const int longest_pause = draw(random, 0, 2) == 0 ? 200 : 0;
    std::size_t begin = 0;
    for (std::size_t i = 1; i <= pieces && written; ++i) {
        std::this_thread::sleep_for(
            milliseconds(draw(random, 0, longest_pause)));
        const std::string bytes(sent.body_size * i / pieces - begin, 'x');
        begin += bytes.size();
        std::ostringstream chunk;
        chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
        if (!bytes.empty())
            written = to.write(chunked ? chunk.str() : bytes);
    }
    return written && (!chunked || to.write("0\r\n\r\n"));
}

// Sends requests until the stop. `name` begins their ids; `long_share` is the
// percentage of those whose answers last long.
inline std::vector<sent_request> run_client(
    const site& place,
    std::uint32_t seed,
    const std::string& name,
    int long_share,
    const std::stop_token& stop)
{
    constexpr std::chrono::seconds limit(12);
    constexpr std::array short_times{5, 40, 150, 400};
    constexpr std::array long_times{700, 1200, 1700, 2300};
    std::mt19937 random(seed);
    std::vector<sent_request> requests;
    std::optional<http_connection> kept;
    std::size_t gateway = 0;
    while (!stop.stop_requested()) {
        std::this_thread::sleep_for(milliseconds(draw(random, 0, 60)));
        if (!kept || !kept->is_open) {
            gateway = std::size_t(draw(random, 0, gateway_count - 1));
            kept.emplace(place.fleet.gateways[gateway].callers, limit);
            if (!kept->is_open)
                continue;
        }
        sent_request sent;
        sent.id = name + "-" + std::to_string(requests.size());
        sent.kind = std::size_t(draw(random, 0, 3));
        sent.gateway = gateway;
        const bool large = draw(random, 0, 3) == 0;
        sent.body_size = std::size_t(draw(random, 1, large ? 200000 : 2000));
        sent.begin = place.now();
        const auto& times =
            draw(random, 0, 99) < long_share ? long_times : short_times;
        const int time = times[std::size_t(draw(random, 0, 3))];
        kept->allow(limit);
        if (write_request(*kept, sent, time, random))
            sent.whole = place.now();
        sent.reply = kept->read();
        sent.end = place.now();
        kept->is_open = kept->is_open && sent.whole;
        requests.push_back(std::move(sent));
    }
    return requests;
}

} // namespace oleanderhinge::tests
