// A body that several messages share, so that a request that is sent again is
// not copied.
//
// Example:
//   http::request<shared_body> message;
//   message.body() = std::make_shared<const std::string>(std::move(text));
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace oleanderhinge::net
{

struct shared_body {
    // Unset: no body.
    using value_type = std::shared_ptr<const std::string>;

    static std::uint64_t size(const value_type& body)
    {
        return body ? body->size() : 0;
    }

    class writer
    {
    public:
        using const_buffers_type = boost::asio::const_buffer;

        template <bool IsRequest, class Fields>
        writer(
            const boost::beast::http::header<IsRequest, Fields>&,
            const value_type& shared)
            : body(shared)
        {
        }

        void init(boost::system::error_code& failed) { failed = {}; }

        boost::optional<std::pair<const_buffers_type, bool>>
        get(boost::system::error_code& failed)
        {
            failed = {};
            if (!this->body)
                return boost::none;
            return {{boost::asio::buffer(*this->body), false}};
        }

    private:
        const value_type& body;
    };
};

} // namespace oleanderhinge::net
