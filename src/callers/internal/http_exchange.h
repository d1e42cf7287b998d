//! One request and its response on a CivetWeb connection.
#pragma once

#include "callers/internal/request_fields.h"
#include "pipeline/response_stream.h"

struct mg_connection;

namespace cyclamenmount::detail {

class http_exchange {
public:
    explicit http_exchange(mg_connection* connection);

    [[nodiscard]] std::string_view method() const;
    [[nodiscard]] std::string_view path() const;  //!< URL-decoded
    [[nodiscard]] std::string_view query() const;

    //! Returns the headers used; refuses the request if one of them is repeated, or if they don't
    //! tell where the request ends.
    [[nodiscard]] decided<request_headers> headers() const;

    //! Reads the whole body; refuses one of more than `limit` bytes.
    [[nodiscard]] decided<std::string> read_body(std::size_t limit) const;

    void send_problem(const refusal& refused);
    void send_json(int status, std::string_view body);

    //! Sends frames from number `from` on; the first call sends the head. A response that failed
    //! before its first token is sent as a problem instead. Returns false if the caller has
    //! disconnected.
    bool send_frames(const response_part& part, std::size_t from);

    [[nodiscard]] bool streaming() const {
        return streaming_;
    }

private:
    bool send_head(int status, std::string_view type, std::string_view length_line);
    bool send(std::string_view bytes);
    [[nodiscard]] bool chunked() const;

    mg_connection* connection_;
    bool streaming_{false};
};

}  // namespace cyclamenmount::detail
