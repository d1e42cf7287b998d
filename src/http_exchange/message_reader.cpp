#include "http_exchange/message_reader.h"

#include "types/http_framing.h"

#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

namespace cyclamenmount {

namespace {

//! Most bytes received at once.
constexpr std::size_t receive_bytes = std::size_t{64} * 1024;

}  // namespace

template <bool is_request>
task<error_code> read_step(connection& from, http::basic_parser<is_request>& parser) {
    error_code failed = http::error::need_more;
    if (from.buffer.size() != 0) {
        const std::size_t used = parser.put(from.buffer.data(), failed);
        from.buffer.consume(used);
    }
    if (failed != http::error::need_more) {
        co_return failed;
    }
    const std::size_t size = beast::read_size(from.buffer, receive_bytes);
    if (size == 0) {
        co_return http::error::buffer_overflow;
    }
    const std::size_t count =
        co_await from.socket.async_read_some(from.buffer.prepare(size), redirect_error_to(failed));
    from.buffer.commit(count);
    from.received_bytes += count;
    if (failed != asio::error::eof) {
        co_return failed;
    }
    if (!parser.got_some()) {
        co_return http::error::end_of_stream;
    }
    parser.put_eof(failed);
    co_return failed;
}

template task<error_code> read_step<true>(connection&, http::basic_parser<true>&);
template task<error_code> read_step<false>(connection&, http::basic_parser<false>&);

template <bool is_request>
error_code check_framing(const http::basic_parser<is_request>& parser,
                         const http::header<is_request, http::fields>& head) {
    constexpr unsigned versions_per_major = 10;
    message_framing framing;
    framing.version_minor = static_cast<int>(head.version() % versions_per_major);
    framing.has_length = head.count(http::field::content_length) != 0;
    const auto [first, last] = head.equal_range(http::field::transfer_encoding);
    for (auto field = first; field != last; ++field) {
        add_transfer_encoding(framing, {field->value().data(), field->value().size()});
    }
    const bool is_read_as_chunked = parser.chunked();
    if (!is_well_framed(framing) || is_read_as_chunked != framing.is_chunked) {
        return http::error::bad_transfer_encoding;
    }
    return {};
}

template error_code check_framing<true>(const http::basic_parser<true>&,
                                        const http::header<true, http::fields>&);
template error_code check_framing<false>(const http::basic_parser<false>&,
                                         const http::header<false, http::fields>&);

bool is_over_limit(const error_code& failed) {
    return failed == http::error::buffer_overflow || failed == http::error::header_limit ||
           failed == http::error::body_limit;
}

std::size_t memory_of(const http::fields& headers) {
    constexpr std::size_t overhead = 96;  // of a field: its allocation, list and set nodes
    std::size_t bytes = 0;
    for (const auto& field : headers) {
        bytes += overhead + field.name_string().size() + field.value().size();
    }
    return bytes;
}

}  // namespace cyclamenmount
