// Guards against a second answer that counts as part of the first one, and
// against texts about HTTP that are taken for one.
#include "oleanderhinge/net/second_answer.hpp"

#include <gtest/gtest.h>

#include <string>

namespace oleanderhinge::net
{
namespace
{

// Guards against heads that are missed and texts that are taken for one.
TEST(second_answer, status_lines_are_found)
{
    struct row {
        std::string text;
        std::size_t position;
    };
    const auto none = std::string::npos;
    for (const auto& [text, position] : {
             row{"", none},
             row{"done", none},
             row{"HTTP/1.1 200 OK\r\n", 0},
             row{"doneHTTP/1.0 503 Full\r\nId: r1\r\n\r\n", 4},
             row{"HTTP/ and HTTP/2, then HTTP/1.1 200", 23},
             row{"doneHTTP/", 4},
             row{"doneHTTP/1.1 20", 4},
             row{"doneHTTP", none},
             row{"HTTP/1.1 is a protocol", none},
             row{"GET / HTTP/1.1\r\nHost: x\r\n", none},
             row{"http/1.1 200 OK\r\n", none},
             row{"HTTP/1.1 2x0 OK\r\n", none},
         })
        EXPECT_EQ(find_status_line(text), position) << text;
}

// Guards against a sound body of known length that quotes a status line and is
// taken for two answers, and against a body that broke off.
TEST(second_answer, the_end_of_a_body_decides)
{
    struct row {
        const char* body;
        bool ends_with_connection;
        const char* following;
        bool holds;
    };
    for (const auto& [body, ends_with_connection, following, holds] : {
             row{"done", true, "", false},
             row{"doneHTTP/1.1 200 OK\r\n\r\ndone", true, "", true},
             row{"see HTTP/1.1 200 OK", false, "", false},
             row{"done", false, "HTTP/1.1 200 OK\r\n\r\ndone", false},
             row{"doHT", false, "TP/1.1 200 OK\r\n\r\ndone", true},
             row{"doHTTP/1.1 200 OK\r\n", false, "\r\ndone", true},
             row{"done", false, "xyz", false},
         })
        EXPECT_EQ(
            holds_second_answer(body, ends_with_connection, following), holds)
            << body << '|' << following;
}

// Guards against two heads that are taken for one, and against a sound head
// with the name of the protocol.
TEST(second_answer, a_status_line_in_a_head_is_found)
{
    struct row {
        const char* value;
        bool holds;
    };
    for (const auto& [value, holds] : {
             row{"a", false},
             row{"HTTP/2.0", false},
             row{"HTTP/1.1 proxy", false},
             row{"aHTTP/1.1 200 OK", true},
         }) {
        boost::beast::http::response_header<> in_field;
        in_field.set("Note", value);
        EXPECT_EQ(holds_second_answer(in_field), holds) << value;
        boost::beast::http::response_header<> in_reason;
        in_reason.reason(value);
        EXPECT_EQ(holds_second_answer(in_reason), holds) << value;
    }
}

} // namespace
} // namespace oleanderhinge::net
