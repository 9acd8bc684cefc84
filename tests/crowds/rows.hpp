// What crowds send, and the bounds that a process has to keep.
#pragma once

#include "tests/harness/crowd.hpp"

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace oleanderhinge::tests
{

struct crowd_row {
    const char* what;
    std::size_t clients;
    client_script script;
};

// Bodies of legal size, of which one in ten is complete, bodies far over the
// limit, and heads without end. `head` makes the head of a request of its
// framing fields.
template <class Head>
std::vector<crowd_row>
body_rows(std::size_t clients, std::size_t body_bytes, Head head)
{
    constexpr std::size_t piece = 16384;
    constexpr std::size_t over = std::size_t(64) << 20;
    const auto length = "Content-Length: " + std::to_string(body_bytes);
    const auto far_over = "Content-Length: " + std::to_string(over);
    const std::string chunked = "Transfer-Encoding: chunked";
    const std::string last_chunk = "0\r\n\r\n";
    const auto chunk = "4000\r\n" + std::string(piece, 'a') + "\r\n";
    std::string small_chunks;
    for (int i = 0; i < 10000; ++i)
        small_chunks += "1\r\na\r\n";
    std::string fields;
    while (fields.size() < piece)
        fields += "X-Field: " + std::string(90, 'a') + "\r\n";
    return {
        {"whole",
         clients,
         {head(length), std::string(body_bytes - 1, 'a'), 1, "a"}},
        {"piece by piece",
         clients,
         {head(length),
          std::string(piece, 'a'),
          body_bytes / piece - 1,
          std::string(piece, 'a')}},
        {"large chunks",
         clients,
         {head(chunked), chunk, body_bytes / piece - 1, last_chunk}},
        {"chunks of one byte",
         clients,
         {head(chunked), small_chunks, body_bytes / 4 / 10000, last_chunk}},
        {"far over the limit, announced",
         clients,
         {head(far_over), std::string(piece, 'a'), over / piece, ""}},
        {"far over the limit, just sent",
         clients,
         {head(chunked), chunk, over / piece, ""}},
        {"heads without end",
         clients,
         {head("X-Begin: 1").substr(0, head("X-Begin: 1").size() - 2),
          fields,
          256,
          ""}},
        {"heads that stop short",
         clients,
         {head("X-Begin: " + std::string(15000, 'a')).substr(0, 15000),
          "",
          0,
          ""}}};
}

} // namespace oleanderhinge::tests
