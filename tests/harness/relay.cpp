#include "tests/harness/relay.hpp"

#include <boost/asio/write.hpp>

#include <array>

namespace oleanderhinge::tests
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

tcp::endpoint to_tcp(const wire::endpoint& endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

} // namespace

// The two ends; bytes of each go to the other.
struct relay::connection {
    explicit connection(asio::io_context& io)
        : ends{tcp::socket(io), tcp::socket(io)}
    {
    }
    std::array<tcp::socket, 2> ends;
    std::array<std::array<char, 65536>, 2> bytes{};
    bool lost = false;
};

relay::relay(const wire::endpoint& listen, const wire::endpoint& to)
    : acceptor(this->io, to_tcp(listen))
    , target(to_tcp(to))
{
    this->accept();
    this->runner = std::jthread([this] { this->io.run(); });
}

relay::~relay()
{
    this->io.stop();
}

void relay::accept()
{
    auto made = std::make_shared<connection>(this->io);
    this->acceptor.async_accept(made->ends[0], [this, made](error_code failed) {
        this->accept();
        if (failed)
            return;
        made->ends[1].async_connect(
            this->target, [this, made](error_code refused) {
                if (refused)
                    return;
                this->pass_on(made, 0);
                this->pass_on(made, 1);
            });
    });
}

void relay::pass_on(
    const std::shared_ptr<connection>& passed, std::size_t direction)
{
    auto& bytes = passed->bytes[direction];
    passed->ends[direction].async_read_some(
        asio::buffer(bytes),
        [this, passed, direction](error_code failed, std::size_t size) {
            auto& to = passed->ends[1 - direction];
            passed->lost = passed->lost || this->is_cut;
            if (failed && !passed->lost) {
                error_code ignored;
                to.close(ignored);
            }
            if (failed)
                return;
            if (passed->lost)
                return this->pass_on(passed, direction);
            asio::async_write(
                to,
                asio::buffer(passed->bytes[direction], size),
                [this, passed, direction](error_code broken, std::size_t) {
                    if (!broken)
                        this->pass_on(passed, direction);
                });
        });
}

} // namespace oleanderhinge::tests
