//! Exchange, strangers, garbage, silence and restarts on real sockets.
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

constexpr milliseconds guard{20000};  // no test waits longer

//! The network's threads allocate beside the tests.
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

void open(endpoint& of, const std::string& id, const std::string& secret = "secret",
          const std::string& address = "127.0.0.1:0") {
    peer_handlers handlers;
    handlers.on_message = [&of](const instance_id& from, peer_message message) {
        const std::lock_guard lock(of.mutex);
        of.received.emplace_back(from.value, std::move(message));
    };
    handlers.on_read = [id](std::string_view query) { return id + ":" + std::string(query); };
    auto started = peer_network::start({{{id}, address, {"z1"}}, secret, 300ms}, handlers);
    CHECK_TRUE(started.has_value());
    of.network = std::move(started.value());
}

template <typename Condition>
bool wait_until(Condition done) {
    for (const instant end = boot_clock::now() + guard; boot_clock::now() < end;) {
        if (done()) {
            return true;
        }
        std::this_thread::sleep_for(5ms);
    }
    return done();
}

//! Sends pings, as a heartbeat would, until `done`.
template <typename Condition>
bool ping_until(endpoint& from, const member& to, Condition done) {
    return wait_until([&] {
        from.network->send(to, ping{});
        std::this_thread::sleep_for(20ms);
        return done();
    });
}

detail::descriptor connect_plainly(const std::string& address) {
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
    open(a, "a");
    open(b, "b");
    // WHEN one sends many messages, some without knowing the other's id
    for (std::uint64_t i = 0; i < 200; ++i) {
        const member to = i % 2 == 0 ? b.self("b") : member{{}, b.network->address(), {}};
        a.network->send(to, pong{i, {}});
    }
    // THEN all arrive with the sender's proven id
    CHECK_TRUE(wait_until([&] { return b.count() == 200; }));
    CHECK_TRUE(b.received[0].first == "a");
    LONGS_EQUAL(0, std::get<pong>(b.received[0].second).sequence);
    // AND reads are answered
    const auto answer = a.network->read(b.network->address(), "question", guard);
    CHECK_TRUE(answer.has_value());
    CHECK_TRUE(answer.value() == "b:question");
}

TEST(peers, large_messages_arrive_whole) {
    endpoint a;
    endpoint b;
    open(a, "a");
    open(b, "b");
    document_notice notice;
    notice.value.text = std::string(1 << 20, 'x');
    for (int i = 0; i < 4; ++i) {
        a.network->send(b.self("b"), notice);
    }
    CHECK_TRUE(wait_until([&] { return b.count() == 4; }));
    CHECK_TRUE(std::get<document_notice>(b.received[3].second).value.text == notice.value.text);
}

TEST(peers, message_for_another_process_at_the_address_is_dropped) {
    endpoint a;
    endpoint b;
    open(a, "a");
    open(b, "b");
    a.network->send({{"earlier"}, b.network->address(), {}}, pong{1, {}});
    a.network->send(b.self("b"), pong{2, {}});
    CHECK_TRUE(wait_until([&] { return b.count() == 1; }));
    LONGS_EQUAL(2, std::get<pong>(b.received[0].second).sequence);
}

TEST(peers, stranger_is_refused_and_others_go_on) {
    // GIVEN one instance with another secret
    endpoint a;
    endpoint b;
    endpoint stranger;
    open(a, "a");
    open(b, "b");
    open(stranger, "s", "other");
    // WHEN it sends and is sent to
    CHECK_TRUE(ping_until(stranger, b.self("b"),
                          [&] { return stranger.network->counters().strangers_refused > 0; }));
    CHECK_TRUE(ping_until(a, stranger.self("s"),
                          [&] { return a.network->counters().strangers_refused > 0; }));
    // THEN nothing gets through, and the others still exchange
    a.network->send(b.self("b"), ping{});
    CHECK_TRUE(wait_until([&] { return b.count() == 1; }));
    LONGS_EQUAL(0, stranger.count());
}

TEST(peers, garbage_closes_its_connection_only) {
    endpoint a;
    endpoint b;
    open(a, "a");
    open(b, "b");
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
        // WHEN somebody sends garbage
        const auto socket = connect_plainly(b.network->address());
        send_bytes(socket, bytes);
        // THEN its connection is closed
        CHECK_TRUE(is_closed_by_peer(socket));
        // AND the others' go on
        const auto before = b.count();
        a.network->send(b.self("b"), ping{});
        CHECK_TRUE(wait_until([&] { return b.count() > before; }));
    }
    LONGS_EQUAL(replaced, a.network->counters().connections_replaced);
}

TEST(peers, silent_peer_is_replaced_and_others_go_on) {
    // GIVEN a listener that accepts connections in its queue but never answers
    const auto listener = detail::listen_on("127.0.0.1:0");
    CHECK_TRUE(listener.has_value());
    const member silent{{}, detail::bound_address(listener.value()), {}};
    endpoint a;
    endpoint b;
    open(a, "a");
    open(b, "b");
    // WHEN it is sent to
    CHECK_TRUE(
        ping_until(a, silent, [&] { return a.network->counters().connections_replaced >= 2; }));
    // THEN a read of it ends, and the others' exchange goes on
    const auto answer = a.network->read(silent.address, "q", 500ms);
    CHECK_FALSE(answer.has_value());
    a.network->send(b.self("b"), ping{});
    CHECK_TRUE(wait_until([&] { return b.count() == 1; }));
}

TEST(peers, reconnects_after_the_peer_restarts) {
    endpoint a;
    open(a, "a");
    auto b = std::make_unique<endpoint>();
    open(*b, "b");
    const std::string address = b->network->address();
    CHECK_TRUE(ping_until(a, {{"b"}, address, {}}, [&] { return b->count() > 0; }));
    // WHEN the peer ends and another process takes its address
    b.reset();
    CHECK_FALSE(a.network->read(address, "q", 300ms).has_value());
    endpoint c;
    open(c, "c", "secret", address);
    // THEN messages reach the new one
    CHECK_TRUE(ping_until(a, {{}, address, {}}, [&] { return c.count() > 0; }));
}

TEST(peers, start_fails_with_a_reason) {
    endpoint a;
    open(a, "a");
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
