//! One HTTP request and its response at a stand-in server, with simulated response faults.
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
    std::string path;                            //!< URL-decoded, without the query string
    std::string query;                           //!< query string, still URL-encoded
    std::map<std::string, std::string> headers;  //!< header values by lower-case name
    std::string body;
};

//! Returns the value of the header with this lower-case name; empty if absent.
std::string header_of(const incoming_request& request, const std::string& name);

//! Returns the URL-decoded value of a query parameter; none if absent.
std::optional<std::string> query_value(const incoming_request& request, const std::string& name);

//! Parses a decimal number; returns `otherwise` if the text is absent or doesn't begin with one.
long long number_or(const std::optional<std::string>& text, long long otherwise);

//! Shuts down the listening socket on this local port and every connection accepted through it.
void shut_down_port(int server_port);

//! Returns true if the peer of this socket has closed the connection.
bool is_closed(int socket);

class exchange {
public:
    explicit exchange(mg_connection* connection);

    [[nodiscard]] const incoming_request& request() const {
        return request_;
    }

    void respond(int status, const std::vector<std::string>& headers, std::string_view body);

    //! Sends the Content-Length of the whole body but only its first half, then closes the
    //! connection.
    void respond_truncated(int status, const std::vector<std::string>& headers,
                           std::string_view body);

    bool begin_stream(int status, const std::vector<std::string>& headers);
    bool write_chunk(std::string_view data);
    void end_stream();

    //! Closes the connection without sending more data once the handler returns.
    void abandon();

    //! Returns the connection's descriptor, valid until the handler returns; -1 if not found.
    [[nodiscard]] int socket();

    //! Returns true if the client has closed the connection.
    [[nodiscard]] bool peer_gone();

private:
    mg_connection* connection_;
    incoming_request request_;
    std::optional<int> socket_;
};

}  // namespace cyclamenmount::standins
