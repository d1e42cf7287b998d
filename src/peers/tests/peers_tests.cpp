//! Peer network over real sockets: messages and reads, authentication failures, malformed input,
//! unresponsive peers and restarts.
#include "peers/internal/handshake.h"
#include "peers/internal/sockets.h"
#include "peers/peer_network.h"
#include "testing/memory_probe.h"

#include <atomic>
#include <mutex>
#include <thread>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <sys/socket.h>

using namespace cyclamenmount;

namespace {

constexpr milliseconds test_timeout{20000};  // upper limit of each wait

//! The network threads allocate while the tests run, which the leak detector would count.
const bool leak_detection_off = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

struct endpoint {
    std::mutex mutex;
    std::vector<std::pair<std::string, peer_message>> received;
    std::unique_ptr<peer_network> network;

    std::size_t count() {
        const std::lock_guard lock(mutex);
        return received.size();
    }

    [[nodiscard]] member self(const std::string& id) const {
        return {{id}, network->address(), {"z1"}};
    }
};

void start_endpoint(endpoint& target, peer_network_settings settings) {
    const std::string id = settings.self.id.value;
    peer_handlers handlers;
    handlers.on_message = [&target](const instance_id& from, peer_message message) {
        const std::lock_guard lock(target.mutex);
        target.received.emplace_back(from.value, std::move(message));
    };
    handlers.on_read = [id](std::string_view query) { return id + ":" + std::string(query); };
    auto started = peer_network::start(std::move(settings), handlers);
    CHECK_TRUE(started.has_value());
    target.network = std::move(started.value());
}

void start_endpoint(endpoint& target, const std::string& id, const std::string& secret = "secret",
                    const std::string& address = "127.0.0.1:0") {
    start_endpoint(target, {{{id}, address, {"z1"}}, secret, 300ms});
}

template <typename Condition>
bool wait_until(Condition done) {
    for (const instant end = boot_clock::now() + test_timeout; boot_clock::now() < end;) {
        if (done()) {
            return true;
        }
        std::this_thread::sleep_for(5ms);
    }
    return done();
}

//! Sends pings every 20 ms until `done` returns true.
template <typename Condition>
bool ping_until(endpoint& from, const member& to, Condition done) {
    return wait_until([&] {
        from.network->send(to, ping{});
        std::this_thread::sleep_for(20ms);
        return done();
    });
}

detail::descriptor connect_raw(const std::string& address) {
    auto socket = detail::connect_to(address);
    CHECK_TRUE(socket.has_value());
    return std::move(socket.value());
}

void send_bytes(const detail::descriptor& socket, const std::string& bytes) {
    CHECK_TRUE(wait_until([&] {
        return send(socket.value(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(bytes.size());
    }));
}

bool is_closed_by_peer(const detail::descriptor& socket) {
    char buffer[4096];
    return wait_until([&] {
        const auto size = recv(socket.value(), buffer, sizeof buffer, MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN);
    });
}

//! Client that writes HTTP/2 frames by hand, so that it can leave requests incomplete.
struct raw_peer {
    detail::descriptor socket;

    static std::string frame(int type, int flags, int stream, const std::string& payload) {
        const auto byte = [](std::size_t value) { return static_cast<char>(value & 0xffU); };
        const std::size_t size = payload.size();
        return std::string{byte(size >> 16U),
                           byte(size >> 8U),
                           byte(size),
                           byte(static_cast<std::size_t>(type)),
                           byte(static_cast<std::size_t>(flags)),
                           0,
                           0,
                           0,
                           byte(static_cast<std::size_t>(stream))} +
               payload;
    }

    //! Start of a connection: own settings, and the acknowledgement of the server's.
    static std::string preface() {
        constexpr int settings = 4;
        constexpr int acknowledgement = 1;
        return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(settings, 0, 0, "") +
               frame(settings, acknowledgement, 0, "");
    }

    //! Head of a POST: indexed method and scheme, authority and path as literals.
    static std::string head(int stream, const std::string& path) {
        constexpr int end_headers = 4;
        return frame(1, end_headers, stream,
                     std::string("\x83\x86\x01\x04peer\x04") + static_cast<char>(path.size()) +
                         path);
    }

    static std::string data(int stream, const std::string& bytes, bool is_last) {
        return frame(0, is_last ? 1 : 0, stream, bytes);
    }

    //! Reads frames up to one with data, and returns that.
    [[nodiscard]] std::string read_data() const {
        constexpr std::size_t header_size = 9;
        std::string bytes;
        while (true) {
            while (bytes.size() >= header_size) {
                const auto at = [&](std::size_t i) {
                    return static_cast<std::size_t>(static_cast<unsigned char>(bytes[i]));
                };
                const std::size_t size = (at(0) << 16U) + (at(1) << 8U) + at(2);
                if (bytes.size() < header_size + size) {
                    break;
                }
                if (at(3) == 0) {
                    return bytes.substr(header_size, size);
                }
                bytes.erase(0, header_size + size);
            }
            char part[4096];
            ssize_t count = -1;
            CHECK_TRUE(wait_until([&] {
                count = recv(socket.value(), part, sizeof part, MSG_DONTWAIT);
                return count >= 0;
            }));
            CHECK_TRUE(count > 0);
            bytes.append(part, static_cast<std::size_t>(count));
        }
    }
};

//! Connects a peer that knows the secret.
raw_peer authenticate(const endpoint& target, const std::string& id) {
    raw_peer peer{connect_raw(target.network->address())};
    detail::handshake_transcript transcript;
    transcript.client = {id};
    transcript.client_nonce = detail::make_nonce();
    send_bytes(peer.socket, raw_peer::preface() + raw_peer::head(1, "/hello") +
                                raw_peer::data(1,
                                               detail::encode_hello(detail::hello_request{
                                                   transcript.client, transcript.client_nonce}),
                                               true));
    const auto reply = detail::decode_hello_reply(peer.read_data());
    CHECK_TRUE(reply.has_value());
    transcript.server = reply.value().server;
    transcript.server_nonce = reply.value().nonce;
    send_bytes(peer.socket,
               raw_peer::head(3, "/auth") +
                   raw_peer::data(3, detail::client_proof("secret", transcript), true));
    return peer;
}

}  // namespace

TEST_GROUP(peers){};

TEST(peers, messages_and_reads_arrive) {
    // GIVEN two instances with the same secret
    endpoint a;
    endpoint b;
    start_endpoint(a, "a");
    start_endpoint(b, "b");
    // WHEN one sends many messages, half of them without the receiver's id
    for (std::uint64_t i = 0; i < 200; ++i) {
        const member to = i % 2 == 0 ? b.self("b") : member{{}, b.network->address(), {}};
        a.network->send(to, pong{i, {}});
    }
    // THEN all arrive with the sender's authenticated id
    CHECK_TRUE(wait_until([&] { return b.count() == 200; }));
    CHECK_TRUE(b.received[0].first == "a");
    LONGS_EQUAL(0, std::get<pong>(b.received[0].second).sequence);
    // AND a read returns the peer's reply
    const auto reply = a.network->read(b.network->address(), "question", test_timeout);
    CHECK_TRUE(reply.has_value());
    CHECK_TRUE(reply.value() == "b:question");
}

TEST(peers, large_messages_arrive_complete) {
    endpoint a;
    endpoint b;
    start_endpoint(a, "a");
    start_endpoint(b, "b");
    document_notice notice;
    notice.value.text = std::string(1 << 20, 'x');
    for (int i = 0; i < 4; ++i) {
        a.network->send(b.self("b"), notice);
    }
    CHECK_TRUE(wait_until([&] { return b.count() == 4; }));
    CHECK_TRUE(std::get<document_notice>(b.received[3].second).value.text == notice.value.text);
}

TEST(peers, message_for_an_earlier_process_at_the_address_is_dropped) {
    endpoint a;
    endpoint b;
    start_endpoint(a, "a");
    start_endpoint(b, "b");
    a.network->send({{"earlier"}, b.network->address(), {}}, pong{1, {}});
    a.network->send(b.self("b"), pong{2, {}});
    CHECK_TRUE(wait_until([&] { return b.count() == 1; }));
    LONGS_EQUAL(2, std::get<pong>(b.received[0].second).sequence);
}

TEST(peers, peer_with_wrong_secret_is_rejected_and_others_are_unaffected) {
    // GIVEN two instances with the same secret and one with another secret
    endpoint a;
    endpoint b;
    endpoint unauthenticated;
    start_endpoint(a, "a");
    start_endpoint(b, "b");
    start_endpoint(unauthenticated, "s", "other");
    // WHEN the one with the other secret connects to a peer, and a peer to it
    CHECK_TRUE(ping_until(unauthenticated, b.self("b"), [&] {
        return unauthenticated.network->counters().authentication_failures > 0;
    }));
    CHECK_TRUE(ping_until(a, unauthenticated.self("s"),
                          [&] { return a.network->counters().authentication_failures > 0; }));
    // THEN none of these messages arrive, and the others still exchange messages
    a.network->send(b.self("b"), ping{});
    CHECK_TRUE(wait_until([&] { return b.count() == 1; }));
    LONGS_EQUAL(0, unauthenticated.count());
}

TEST(peers, malformed_input_closes_only_its_connection) {
    endpoint a;
    endpoint b;
    start_endpoint(a, "a");
    start_endpoint(b, "b");
    CHECK_TRUE(ping_until(a, b.self("b"), [&] { return b.count() > 0; }));
    const auto replaced = a.network->counters().connections_replaced;
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const std::string cases[] = {
        "GET / HTTP/1.1\r\n\r\n",
        std::string(300, '\xff'),
        preface + std::string(300, '\xff'),
        preface + std::string("\x00\x00\x00\x04\x00\x00\x00\x00\x00", 9) +
            std::string("\xff\xff\xff\x00\x00\x00\x00\x00\x01", 9),
    };
    for (const auto& bytes : cases) {
        // WHEN a client sends malformed bytes
        const auto socket = connect_raw(b.network->address());
        send_bytes(socket, bytes);
        // THEN its connection is closed
        CHECK_TRUE(is_closed_by_peer(socket));
        // AND the other connections still deliver messages
        const auto before = b.count();
        a.network->send(b.self("b"), ping{});
        CHECK_TRUE(wait_until([&] { return b.count() > before; }));
    }
    LONGS_EQUAL(replaced, a.network->counters().connections_replaced);
}

// Guards against a process that ends because the handler of one message throws.
TEST(peers, an_exception_of_a_handler_closes_only_its_connection) {
    // GIVEN a network whose handler throws at the first message
    endpoint from;
    start_endpoint(from, "from");
    std::atomic<int> handled{0};
    peer_handlers handlers;
    handlers.on_message = [&](const instance_id& /*from*/, peer_message /*message*/) {
        if (++handled == 1) {
            throw std::runtime_error("unexpected field");
        }
    };
    handlers.on_read = [](std::string_view query) { return std::string(query); };
    auto started =
        peer_network::start({{{"to"}, "127.0.0.1:0", {"z1"}}, "secret", 300ms}, handlers);
    CHECK_TRUE(started.has_value());
    const member to{{"to"}, started.value()->address(), {"z1"}};
    // WHEN messages arrive
    // THEN those after the first are handled, too
    CHECK_TRUE(ping_until(from, to, [&] { return handled >= 3; }));
}

// Guards against clients without the secret that take the memory of the process.
TEST(peers, before_authentication_hardly_anything_is_kept) {
    // GIVEN an instance, and 64 clients without the secret
    endpoint a;
    endpoint b;
    start_endpoint(a, "a");
    start_endpoint(b, "b");
    std::vector<raw_peer> clients;
    for (int i = 0; i < 64; ++i) {
        clients.push_back({connect_raw(b.network->address())});
    }
    const testing::memory_probe memory;
    // WHEN each sends the head of a request and a megabyte of its body
    for (const raw_peer& client : clients) {
        std::string bytes = raw_peer::preface() + raw_peer::head(1, "/m");
        for (int i = 0; i < 64; ++i) {
            bytes += raw_peer::data(1, std::string(16000, 'x'), false);
        }
        (void)send(client.socket.value(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    // THEN their connections are closed, and little was kept
    for (const raw_peer& client : clients) {
        CHECK_TRUE(is_closed_by_peer(client.socket));
    }
    CHECK_TRUE(memory.growth() < std::size_t{16} * 1024 * 1024);
    // AND other instances still connect
    CHECK_TRUE(ping_until(a, b.self("b"), [&] { return b.count() > 0; }));
}

TEST(peers, the_connection_whose_incomplete_messages_take_most_is_closed) {
    // GIVEN an instance that keeps 1 MB of incomplete messages and closes no connection for being
    // idle, and two peers with the secret
    endpoint target;
    start_endpoint(target, {{{"b"}, "127.0.0.1:0", {"z1"}}, "secret", 30s, 1'000'000});
    const raw_peer large = authenticate(target, "large");
    const raw_peer small = authenticate(target, "small");
    // WHEN one sends most of that in messages without end, and the other one exceeds the rest
    for (const auto& [peer, frames] : {std::pair(&large, 50), std::pair(&small, 20)}) {
        std::string bytes = raw_peer::head(5, "/m");
        for (int i = 0; i < frames; ++i) {
            bytes += raw_peer::data(5, std::string(16000, 'x'), false);
        }
        send_bytes(peer->socket, bytes);
        std::this_thread::sleep_for(100ms);
    }
    // THEN the first connection is closed, and the other one stays
    CHECK_TRUE(is_closed_by_peer(large.socket));
    char byte = 0;
    CHECK_TRUE(recv(small.socket.value(), &byte, 1, MSG_DONTWAIT | MSG_PEEK) != 0);
}

TEST(peers, connection_to_unresponsive_peer_is_replaced_and_others_are_unaffected) {
    // GIVEN a listener whose backlog accepts connections but that never reads or replies
    const auto listener = detail::listen_on("127.0.0.1:0");
    CHECK_TRUE(listener.has_value());
    const member unresponsive{{}, detail::bound_address(listener.value()), {}};
    endpoint a;
    endpoint b;
    start_endpoint(a, "a");
    start_endpoint(b, "b");
    // WHEN a peer sends to it
    CHECK_TRUE(ping_until(a, unresponsive,
                          [&] { return a.network->counters().connections_replaced >= 2; }));
    // THEN a read from it fails, and the others still exchange messages
    const auto reply = a.network->read(unresponsive.address, "q", 500ms);
    CHECK_FALSE(reply.has_value());
    a.network->send(b.self("b"), ping{});
    CHECK_TRUE(wait_until([&] { return b.count() == 1; }));
}

TEST(peers, reconnects_after_the_peer_restarts) {
    endpoint a;
    start_endpoint(a, "a");
    auto b = std::make_unique<endpoint>();
    start_endpoint(*b, "b");
    const std::string address = b->network->address();
    CHECK_TRUE(ping_until(a, {{"b"}, address, {}}, [&] { return b->count() > 0; }));
    // WHEN the peer stops and another process listens on its address
    b.reset();
    CHECK_FALSE(a.network->read(address, "q", 300ms).has_value());
    endpoint c;
    start_endpoint(c, "c", "secret", address);
    // THEN messages reach the new process
    CHECK_TRUE(ping_until(a, {{}, address, {}}, [&] { return c.count() > 0; }));
}

TEST(peers, start_fails_on_invalid_settings) {
    endpoint a;
    start_endpoint(a, "a");
    const std::pair<const char*, peer_network_settings> cases[] = {
        {"address in use", {{{"b"}, a.network->address(), {}}, "secret", 300ms}},
        {"not an address", {{{"b"}, "nowhere", {}}, "secret", 300ms}},
        {"no secret", {{{"b"}, "127.0.0.1:0", {}}, "", 300ms}},
        {"no id", {{{}, "127.0.0.1:0", {}}, "secret", 300ms}},
    };
    for (const auto& [name, settings] : cases) {
        CHECK_FALSE_TEXT(peer_network::start(settings, {}).has_value(), name);
    }
}
