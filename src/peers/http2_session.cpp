//! An nghttp2 session over a non-blocking socket.
#include "peers/internal/http2_session.h"

#include "codec/codec.h"

#include <array>
#include <cerrno>

#include <sys/socket.h>

namespace cyclamenmount::detail {

namespace {

constexpr std::size_t max_body_bytes = max_message_bytes + 64;  // a batch with one largest message
constexpr std::size_t max_kept_bytes = std::size_t{8} << 20U;   // all incomplete exchanges together
constexpr std::size_t max_handshake_bytes = std::size_t{4} << 10U;  // the same during the handshake
constexpr std::size_t output_low_water_bytes = std::size_t{64} << 10U;
constexpr std::size_t read_buffer_bytes = std::size_t{16} << 10U;
constexpr int max_reads_per_receive = 64;  // one busy connection must not delay the others
constexpr std::uint32_t max_streams = 128;
constexpr std::uint32_t window_bytes = std::uint32_t{4} << 20U;

nghttp2_nv header(std::string_view name, std::string_view value) {
    nghttp2_nv field{};
    field.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
    field.namelen = name.size();
    field.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
    field.valuelen = value.size();
    return field;
}

}  // namespace

result<std::unique_ptr<http2_session>> http2_session::create(descriptor socket, http2_role role,
                                                             instant now) {
    std::unique_ptr<http2_session> created(new http2_session(std::move(socket), role, now));
    auto session = http2_callbacks::make_session(*created);
    if (!session) {
        return session.error();
    }
    created->session_.reset(session.value());
    created->max_kept_bytes_ = max_handshake_bytes;
    if (!created->open()) {
        return error{error_kind::system,
                     "nghttp2 failed to start an HTTP/2 session with the initial settings"};
    }
    return created;
}

bool http2_session::open() {
    const std::array<nghttp2_settings_entry, 3> settings = {
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window_bytes},
         {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}}};
    // ENABLE_PUSH is the last entry and is sent by clients only.
    const std::size_t count = role_ == http2_role::client ? settings.size() : 2;
    return nghttp2_submit_settings(session_.get(), NGHTTP2_FLAG_NONE, settings.data(), count) ==
               0 &&
           nghttp2_session_set_local_window_size(session_.get(), NGHTTP2_FLAG_NONE, 0,
                                                 static_cast<std::int32_t>(window_bytes)) == 0;
}

result<std::int32_t> http2_session::request(std::string_view path, std::string body) {
    const std::array<nghttp2_nv, 4> headers = {
        {header(":method", "POST"), header(":scheme", "http"), header(":authority", "peer"),
         header(":path", path)}};
    const auto provider = http2_callbacks::provider();
    const std::int32_t stream = nghttp2_submit_request(session_.get(), nullptr, headers.data(),
                                                       headers.size(), &provider, nullptr);
    if (stream < 0) {
        return error{error_kind::protocol, nghttp2_strerror(stream)};
    }
    uploads_[stream].body = std::move(body);
    return stream;
}

bool http2_session::respond(std::int32_t stream, std::string body) {
    const std::array<nghttp2_nv, 1> headers = {{header(":status", body.empty() ? "204" : "200")}};
    if (body.empty()) {
        return nghttp2_submit_response(session_.get(), stream, headers.data(), headers.size(),
                                       nullptr) == 0;
    }
    uploads_[stream].body = std::move(body);
    const auto provider = http2_callbacks::provider();
    return nghttp2_submit_response(session_.get(), stream, headers.data(), headers.size(),
                                   &provider) == 0;
}

bool http2_session::add_body(std::int32_t stream, std::string_view bytes) {
    const auto found = incoming_.find(stream);
    if (found == incoming_.end() || found->second.body.size() + bytes.size() > max_body_bytes ||
        !keep(bytes.size())) {
        return false;
    }
    found->second.body.append(bytes);
    return true;
}

bool http2_session::keep(std::size_t bytes) {
    kept_bytes_ += bytes;
    return kept_bytes_ <= max_kept_bytes_;
}

http2_exchange http2_session::take(std::map<std::int32_t, http2_exchange>::iterator found) {
    http2_exchange taken = std::move(found->second);
    incoming_.erase(found);
    kept_bytes_ -= taken.kept_bytes();
    return taken;
}

void http2_session::accept_messages() {
    max_kept_bytes_ = max_kept_bytes;
}

bool http2_session::receive(instant now, std::vector<http2_exchange>& arrived) {
    std::array<std::uint8_t, read_buffer_bytes> buffer{};
    for (int i = 0; i < max_reads_per_receive; ++i) {
        const auto size = recv(socket_.value(), buffer.data(), buffer.size(), 0);
        if (size < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        if (size == 0) {
            return false;
        }
        received_bytes_ += static_cast<std::uint64_t>(size);
        last_progress_ = now;
        const auto used =
            nghttp2_session_mem_recv(session_.get(), buffer.data(), static_cast<std::size_t>(size));
        for (auto& exchange : finished_) {
            arrived.push_back(std::move(exchange));
        }
        finished_.clear();
        if (used != size) {
            return false;
        }
    }
    return true;
}

bool http2_session::fill_output() {
    while (output_.size() < output_low_water_bytes) {
        const std::uint8_t* data = nullptr;
        const auto size = nghttp2_session_mem_send(session_.get(), &data);
        if (size < 0) {
            return false;
        }
        if (size == 0) {
            return true;
        }
        output_.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
    }
    return true;
}

bool http2_session::flush(instant now) {
    while (true) {
        if (!fill_output()) {
            return false;
        }
        if (output_.empty()) {
            return nghttp2_session_want_read(session_.get()) != 0;
        }
        const auto size = send(socket_.value(), output_.data(), output_.size(), MSG_NOSIGNAL);
        if (size < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        output_.erase(0, static_cast<std::size_t>(size));
        sent_bytes_ += static_cast<std::uint64_t>(size);
        if (role_ == http2_role::server) {
            last_progress_ = now;
        }
    }
}

bool http2_session::wants_write() const {
    return !output_.empty() || nghttp2_session_want_write(session_.get()) != 0;
}

}  // namespace cyclamenmount::detail
