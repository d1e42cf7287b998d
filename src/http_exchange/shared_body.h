//! Beast body type of requests whose bytes several messages share.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

namespace cyclamenmount {

//! Meets Beast's requirements of a Body that can be written, not read. A null pointer stands for an
//! empty body.
struct shared_body {
    using value_type = std::shared_ptr<const std::string>;

    static std::uint64_t size(const value_type& body) {
        return body ? body->size() : 0;
    }

    class writer {
    public:
        using const_buffers_type = boost::asio::const_buffer;

        template <bool is_request, typename Fields>
        writer(const boost::beast::http::header<is_request, Fields>& /*head*/,
               const value_type& body)
            : body_(body) {}

        void init(boost::beast::error_code& failed) {
            failed = {};
        }

        boost::optional<std::pair<const_buffers_type, bool>> get(boost::beast::error_code& failed) {
            failed = {};
            if (!body_) {
                return boost::none;
            }
            constexpr bool has_more = false;
            return {{const_buffers_type(body_->data(), body_->size()), has_more}};
        }

    private:
        const value_type& body_;
    };
};

}  // namespace cyclamenmount
