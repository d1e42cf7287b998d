//! One request and its response on a CivetWeb connection.
#pragma once

#include "callers/internal/request_fields.h"
#include "pipeline/answer.h"

struct mg_connection;

namespace cyclamenmount::detail {

class http_exchange {
public:
    explicit http_exchange(mg_connection* connection);

    [[nodiscard]] std::string_view method() const;
    [[nodiscard]] std::string_view path() const;  //!< decoded
    [[nodiscard]] std::string_view query() const;

    //! Refuses headers that come twice.
    [[nodiscard]] decided<request_headers> headers() const;

    //! Reads the whole body, at most `limit` bytes.
    [[nodiscard]] decided<std::string> read_body(std::size_t limit) const;

    void send_problem(const refusal& refused);
    void send_json(int status, std::string_view body);

    //! Sends frames; begins the stream with the first. A refusal without any frame before it goes
    //! out as a problem. False if the caller has gone.
    bool send_frames(const answer_part& part, std::size_t from);

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
