// A body whose memory grows as its bytes arrive, whatever length was announced.
// Not for use outside net/.
//
// Example:
//   http::request_parser<growing_body> parser;
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include <cstdint>
#include <string>

namespace oleanderhinge::net::internal
{

struct growing_body {
    using value_type = std::string;

    class reader
    {
    public:
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>&, value_type& body)
            : text(body)
        {
        }

        void init(
            const boost::optional<std::uint64_t>&,
            boost::system::error_code& failed)
        {
            failed = {};
        }

        template <class Buffers>
        std::size_t
        put(const Buffers& buffers, boost::system::error_code& failed)
        {
            failed = {};
            const auto before = this->text.size();
            for (const auto bytes : boost::beast::buffers_range_ref(buffers))
                this->text.append(
                    static_cast<const char*>(bytes.data()), bytes.size());
            return this->text.size() - before;
        }

        void finish(boost::system::error_code& failed) { failed = {}; }

    private:
        std::string& text;
    };
};

} // namespace oleanderhinge::net::internal
