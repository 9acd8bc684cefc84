// Guards against answers whose head holds a line that is no field: callers get
// neither that line nor a body that is not known to be the server's.
#include "oleanderhinge/gateway/raw_answers_fixture_test.hpp"
#include "oleanderhinge/net/odd_head_lines_test.hpp"

namespace oleanderhinge::gateway
{
namespace
{

using namespace test;
using net::test::insert_line;

const std::string framings[] = {
    "Content-Length: 15\r\n", "Transfer-Encoding: chunked\r\n", ""};
const std::string event = "id: 1\ndata: x\n\n";

std::string body_of(const std::string& framing)
{
    const bool chunked = framing.starts_with("Transfer");
    return chunked ? "f\r\n" + event + "\r\n0\r\n\r\n" : event;
}

// Heads of answers with this line, each at another place.
std::vector<std::string> heads_with(
    const std::string& line,
    const std::string& status,
    const std::string& framing)
{
    auto head = "HTTP/1.1 " + status;
    head += "\r\n" + framing;
    head += genuine + "\r\n";
    return insert_line(head, line);
}

class answer_fields : public raw_answers_fixture
{
protected:
    caller_view watch_answer(const std::string& target, raw_answer answer)
    {
        this->use_raw_server(true);
        this->raw.answers = {std::move(answer)};
        return this->watch(target);
    }

    // `pause`: as in `raw_answer::pause_after`.
    void expect_no_answer(
        const std::string& head, const std::string& body, std::size_t pause)
    {
        for (const auto* target : {"/once/x", "/read/x", "/talk/x"}) {
            const auto view = this->watch_answer(
                target, {head + body, after_answer::close, {}, pause});
            EXPECT_EQ(view.status, 502U) << target << head;
            EXPECT_EQ(view.seals, 0U) << target << head;
            EXPECT_EQ(view.body.find(event), view.body.npos) << target << head;
        }
    }
};

// Guards against a line with a blank or a control byte in the name of its
// field, or with no name, that is passed on, or that is taken for a part of the
// field before it, such as the server's mark.
TEST_F(answer_fields, a_line_that_is_no_field_makes_the_head_no_answer)
{
    for (const auto& line : net::test::odd_head_lines())
        for (const auto& framing : framings)
            for (const auto* status : {"200 OK", "404 Unknown", "500 Failed"})
                for (const auto& head : heads_with(line, status, framing)) {
                    const auto body = body_of(framing);
                    this->expect_no_answer(head, body, 0);
                    // The line comes by itself.
                    this->expect_no_answer(head, body, head.find(line));
                }
}

// Guards against an answer that is refused for a field which is valid.
TEST_F(answer_fields, a_field_may_look_odd)
{
    for (const auto& line : net::test::sound_head_lines())
        for (const auto& framing : framings)
            for (const auto& head : heads_with(line, "200 OK", framing))
                for (const auto* target : {"/once/x", "/talk/x"}) {
                    const auto view = this->watch_answer(
                        target, {head + body_of(framing), after_answer::close});
                    EXPECT_EQ(view.status, 200U) << target << head;
                    EXPECT_EQ(view.seals, 1U) << target << head;
                    EXPECT_EQ(view.body, event) << target << head;
                }
}

// Guards against "not run" for a request that may have run: the head of a
// refusal is broken, and may be two that were joined.
TEST_F(answer_fields, a_folded_refusal_is_none)
{
    for (const auto& head :
         heads_with(" Odd: x\r\n", "503 Full", "Not-Run: 1\r\n"))
        this->expect_no_answer(head, "", 0);
}

// Guards against a line of an informational head that is no field.
TEST_F(answer_fields, a_folded_informational_head_is_followed_by_no_answer)
{
    const auto answered = with_length("200 OK", genuine, event);
    for (const auto* target : {"/once/x", "/talk/x"})
        EXPECT_EQ(
            this->watch_answer(
                    target,
                    {"HTTP/1.1 103 Early Hints\r\nNote: a\r\n b\r\n\r\n" +
                         answered,
                     after_answer::close})
                .status,
            502U)
            << target;
}

// Guards against a request that may be repeated and that is given up because of
// one server's broken head.
TEST_F(answer_fields, a_folded_head_is_followed_by_another_attempt)
{
    this->use_raw_server(true);
    this->add_server("first", "near", this->first);
    this->first.behave = answer;
    this->selector.home = base::data_centre_id{"far"};
    this->raw.answers = {
        {"HTTP/1.1 200 OK\r\n" + genuine + " Odd: x\r\n\r\npart",
         after_answer::close}};
    const auto view = this->watch("/read/x");
    EXPECT_EQ(this->raw.seen.size(), 1U);
    EXPECT_EQ(view.status, 200U);
    EXPECT_EQ(view.body, "done");
}

} // namespace
} // namespace oleanderhinge::gateway
