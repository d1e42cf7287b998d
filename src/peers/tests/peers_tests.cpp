//! Peer network over real sockets: messages and reads, authentication failures, malformed input,
//! unresponsive peers and restarts.
#include "peers/internal/sockets.h"
#include "peers/peer_network.h"

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

void start_endpoint(endpoint& target, const std::string& id, const std::string& secret = "secret",
                    const std::string& address = "127.0.0.1:0") {
    peer_handlers handlers;
    handlers.on_message = [&target](const instance_id& from, peer_message message) {
        const std::lock_guard lock(target.mutex);
        target.received.emplace_back(from.value, std::move(message));
    };
    handlers.on_read = [id](std::string_view query) { return id + ":" + std::string(query); };
    auto started = peer_network::start({{{id}, address, {"z1"}}, secret, 300ms}, handlers);
    CHECK_TRUE(started.has_value());
    target.network = std::move(started.value());
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
