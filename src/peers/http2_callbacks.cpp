//! Callbacks for nghttp2. A failure in a callback ends the session and closes the connection.
#include "peers/internal/http2_session.h"

#include <algorithm>
#include <charconv>

namespace cyclamenmount::detail {

namespace {

constexpr std::size_t max_header_bytes = 4096;  // names and values of one request or response

http2_session& session_of(void* user) {
    return *static_cast<http2_session*>(user);
}

std::string_view to_string_view(const std::uint8_t* data, std::size_t size) {
    return {reinterpret_cast<const char*>(data), size};
}

struct callbacks_deleter {
    void operator()(nghttp2_session_callbacks* value) const {
        nghttp2_session_callbacks_del(value);
    }
};

void register_callbacks(nghttp2_session_callbacks* callbacks) {
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            http2_callbacks::on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, http2_callbacks::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, http2_callbacks::on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, http2_callbacks::on_frame);
    nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(callbacks,
                                                                 http2_callbacks::on_invalid_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           http2_callbacks::on_stream_close);
}

}  // namespace

result<nghttp2_session*> http2_callbacks::make_session(http2_session& owner) {
    nghttp2_session_callbacks* created = nullptr;
    if (nghttp2_session_callbacks_new(&created) != 0) {
        return error{error_kind::system, "out of memory while allocating nghttp2 callbacks"};
    }
    const std::unique_ptr<nghttp2_session_callbacks, callbacks_deleter> callbacks(created);
    register_callbacks(created);
    nghttp2_session* session = nullptr;
    const int status = owner.role_ == http2_role::client
                           ? nghttp2_session_client_new(&session, created, &owner)
                           : nghttp2_session_server_new(&session, created, &owner);
    if (status != 0) {
        return error{error_kind::system, "out of memory while allocating an nghttp2 session"};
    }
    return session;
}

nghttp2_data_provider http2_callbacks::provider() {
    nghttp2_data_provider created{};
    created.read_callback = read_body;
    return created;
}

int http2_callbacks::on_begin_headers(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                                      void* user) {
    auto& owner = session_of(user);
    const auto [added, is_new] = owner.incoming_.try_emplace(frame->hd.stream_id);
    added->second.stream = frame->hd.stream_id;
    const bool has_room = !is_new || owner.keep(added->second.kept_bytes());
    return has_room ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
}

int http2_callbacks::on_header(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                               const std::uint8_t* name, std::size_t name_size,
                               const std::uint8_t* value, std::size_t value_size,
                               std::uint8_t /*flags*/, void* user) {
    auto& owner = session_of(user);
    const auto found = owner.incoming_.find(frame->hd.stream_id);
    if (found == owner.incoming_.end()) {
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    http2_exchange& exchange = found->second;
    exchange.header_bytes += name_size + value_size;
    if (exchange.header_bytes > max_header_bytes) {
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    const auto text = to_string_view(value, value_size);
    if (to_string_view(name, name_size) == ":path" && exchange.path.empty()) {
        exchange.path = text;
        if (!owner.keep(text.size())) {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
    } else if (to_string_view(name, name_size) == ":status") {
        std::from_chars(text.data(), text.data() + text.size(), exchange.status);
    }
    return 0;
}

int http2_callbacks::on_data(nghttp2_session* /*session*/, std::uint8_t /*flags*/,
                             std::int32_t stream, const std::uint8_t* data, std::size_t size,
                             void* user) {
    return session_of(user).add_body(stream, to_string_view(data, size))
               ? 0
               : NGHTTP2_ERR_CALLBACK_FAILURE;
}

int http2_callbacks::on_frame(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                              void* user) {
    auto& owner = session_of(user);
    const bool has_payload = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    const bool ends_stream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    const auto found = owner.incoming_.find(frame->hd.stream_id);
    if (has_payload && ends_stream && found != owner.incoming_.end()) {
        owner.finished_.push_back(owner.take(found));
    }
    return 0;
}

int http2_callbacks::on_invalid_frame(nghttp2_session* /*session*/, const nghttp2_frame* /*frame*/,
                                      int /*error_code*/, void* /*user*/) {
    return NGHTTP2_ERR_CALLBACK_FAILURE;
}

int http2_callbacks::on_stream_close(nghttp2_session* /*session*/, std::int32_t stream,
                                     std::uint32_t code, void* user) {
    auto& owner = session_of(user);
    owner.uploads_.erase(stream);
    const auto found = owner.incoming_.find(stream);
    if (found != owner.incoming_.end()) {
        (void)owner.take(found);
    }
    if (code != NGHTTP2_NO_ERROR && owner.role_ == http2_role::client) {
        http2_exchange failed;
        failed.stream = stream;
        owner.finished_.push_back(std::move(failed));
    }
    return 0;
}

ssize_t http2_callbacks::read_body(nghttp2_session* /*session*/, std::int32_t stream,
                                   std::uint8_t* out, std::size_t size, std::uint32_t* flags,
                                   nghttp2_data_source* /*source*/, void* user) {
    auto& owner = session_of(user);
    const auto found = owner.uploads_.find(stream);
    if (found == owner.uploads_.end()) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    auto& upload = found->second;
    const std::size_t count = std::min(size, upload.body.size() - upload.sent);
    std::copy_n(upload.body.begin() + static_cast<std::ptrdiff_t>(upload.sent), count, out);
    upload.sent += count;
    if (upload.sent == upload.body.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

}  // namespace cyclamenmount::detail
