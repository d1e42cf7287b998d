//! An nghttp2 session over a non-blocking socket.
#pragma once

#include "peers/internal/sockets.h"
#include "types/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <nghttp2/nghttp2.h>

namespace cyclamenmount::detail {

//! A completely received request or response.
struct http2_exchange {
    std::int32_t stream{0};
    std::string path;  //!< request path; empty in a response
    int status{0};     //!< response status; 0 in a request or if the stream was reset
    std::string body;
    std::size_t header_bytes{0};

    //! Memory that it takes while it is incomplete.
    [[nodiscard]] std::size_t kept_bytes() const {
        return sizeof(http2_exchange) + path.size() + body.size();
    }
};

//! A body that is being sent.
struct http2_upload {
    std::string body;
    std::size_t sent{0};  //!< bytes already passed to nghttp2
};

enum class http2_role { client, server };

//! When a call returns false, the session has failed and has to be destroyed, which closes its
//! socket.
class http2_session {
public:
    static result<std::unique_ptr<http2_session>> create(descriptor socket, http2_role role,
                                                         instant now);
    ~http2_session() = default;
    http2_session(const http2_session&) = delete;
    http2_session& operator=(const http2_session&) = delete;
    http2_session(http2_session&&) = delete;
    http2_session& operator=(http2_session&&) = delete;

    //! Queues a request and returns its stream id; fails if nghttp2 accepts no further requests.
    result<std::int32_t> request(std::string_view path, std::string body);

    //! Queues a response: status 200, or 204 if the body is empty.
    bool respond(std::int32_t stream, std::string body);

    //! Reads available bytes and appends complete requests or responses to `arrived`.
    bool receive(instant now, std::vector<http2_exchange>& arrived);

    //! Writes pending output until the socket would block.
    bool flush(instant now);

    //! Accepts messages from now on; before, only the short ones of the handshake.
    void accept_messages();

    //! Memory that incomplete requests or responses take.
    [[nodiscard]] std::size_t kept_bytes() const {
        return kept_bytes_;
    }

    [[nodiscard]] bool wants_write() const;

    [[nodiscard]] int socket() const {
        return socket_.value();
    }

    //! Time of the last received byte; in the server role also of the last sent byte.
    [[nodiscard]] instant last_progress() const {
        return last_progress_;
    }

    [[nodiscard]] bool has_output() const {
        return !output_.empty();
    }

    [[nodiscard]] bool is_connected() const {
        return detail::is_connected(socket_);
    }

    //! Returns the bytes sent since the last call and resets the count.
    std::uint64_t take_sent_bytes() {
        return std::exchange(sent_bytes_, 0);
    }

    //! Returns the bytes received since the last call and resets the count.
    std::uint64_t take_received_bytes() {
        return std::exchange(received_bytes_, 0);
    }

private:
    friend struct http2_callbacks;

    struct session_deleter {
        void operator()(nghttp2_session* session) const {
            nghttp2_session_del(session);
        }
    };

    http2_session(descriptor socket, http2_role role, instant now)
        : socket_(std::move(socket)), role_(role), last_progress_(now) {}

    bool open();
    bool fill_output();
    bool add_body(std::int32_t stream, std::string_view bytes);
    //! Counts memory of incomplete exchanges; false if they take too much.
    bool keep(std::size_t bytes);
    //! Removes an incomplete exchange from the map and returns it.
    http2_exchange take(std::map<std::int32_t, http2_exchange>::iterator found);

    descriptor socket_;
    http2_role role_;
    instant last_progress_;
    std::map<std::int32_t, http2_exchange> incoming_;
    std::map<std::int32_t, http2_upload> uploads_;
    std::vector<http2_exchange> finished_;
    std::size_t kept_bytes_{0};  //!< of all exchanges in `incoming_`
    std::size_t max_kept_bytes_{0};
    std::string output_;
    std::uint64_t sent_bytes_{0};
    std::uint64_t received_bytes_{0};
    std::unique_ptr<nghttp2_session, session_deleter> session_;
};

//! Callbacks for nghttp2; implemented in http2_callbacks.cpp.
struct http2_callbacks {
    static result<nghttp2_session*> make_session(http2_session& owner);
    static nghttp2_data_provider provider();

    static int on_begin_headers(nghttp2_session* session, const nghttp2_frame* frame, void* user);
    static int on_header(nghttp2_session* session, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_size, const std::uint8_t* value,
                         std::size_t value_size, std::uint8_t flags, void* user);
    static int on_data(nghttp2_session* session, std::uint8_t flags, std::int32_t stream,
                       const std::uint8_t* data, std::size_t size, void* user);
    static int on_frame(nghttp2_session* session, const nghttp2_frame* frame, void* user);
    static int on_invalid_frame(nghttp2_session* session, const nghttp2_frame* frame,
                                int error_code, void* user);
    static int on_stream_close(nghttp2_session* session, std::int32_t stream, std::uint32_t code,
                               void* user);
    static ssize_t read_body(nghttp2_session* session, std::int32_t stream, std::uint8_t* out,
                             std::size_t size, std::uint32_t* flags, nghttp2_data_source* source,
                             void* user);
};

}  // namespace cyclamenmount::detail
