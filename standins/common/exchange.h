//! One HTTP exchange as a stand-in sees it, with the faults that a server can show.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct mg_connection;

namespace cyclamenmount::standins {

struct incoming_request {
    std::string method;
    std::string path;                            //!< decoded, without the query
    std::string query;                           //!< as sent
    std::map<std::string, std::string> headers;  //!< names in lower case
    std::string body;
};

//! Value of a header given in lower case, or an empty text.
std::string header_of(const incoming_request& request, const std::string& name);

//! Decoded value of a query parameter.
std::optional<std::string> query_value(const incoming_request& request, const std::string& name);

//! Number in a query parameter or header text; `otherwise` if absent or malformed.
long long number_or(const std::optional<std::string>& text, long long otherwise);

//! Breaks every connection that this process has accepted on the port, and its listener.
void shut_down_port(int server_port);

//! True if the other end of this socket has closed.
bool is_closed(int socket);

class exchange {
public:
    explicit exchange(mg_connection* connection);

    [[nodiscard]] const incoming_request& request() const {
        return request_;
    }

    void respond(int status, const std::vector<std::string>& headers, std::string_view body);

    //! Announces the whole body, sends only its first half and closes the connection.
    void respond_truncated(int status, const std::vector<std::string>& headers,
                           std::string_view body);

    bool begin_stream(int status, const std::vector<std::string>& headers);
    bool write_chunk(std::string_view data);
    void end_stream();

    //! The connection closes without a further byte.
    void abandon();

    //! The connection's descriptor, valid until the handler returns; -1 if unknown.
    [[nodiscard]] int socket();

    //! True once the client has closed its end.
    [[nodiscard]] bool peer_gone();

private:
    mg_connection* connection_;
    incoming_request request_;
    std::optional<int> socket_;
};

}  // namespace cyclamenmount::standins
