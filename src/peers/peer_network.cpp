//! Network thread: one poll loop over the listener and all connections.
#include "peers/peer_network.h"

#include "codec/codec.h"
#include "peers/internal/incoming.h"

#include <algorithm>
#include <list>
#include <mutex>
#include <thread>

#include <glog/logging.h>
#include <poll.h>

namespace cyclamenmount {

namespace {

constexpr milliseconds poll_timeout{100};
constexpr std::size_t max_incoming_connections = 256;
constexpr std::size_t max_posted_messages = 4096;
//! Pause after an unexpected exception, so that one that always comes doesn't use up the processor.
constexpr milliseconds failure_pause{100};

//! A message or read passed from another thread to the network thread.
struct posted_item {
    std::string address;
    detail::queued_message message;
    std::shared_ptr<detail::read_call> read;  //!< set for a read, which has no message
};

short poll_events(const detail::outgoing_peer& peer) {
    const bool writes =
        peer.phase == detail::connection_phase::connecting || peer.session->wants_write();
    return static_cast<short>(writes ? POLLIN | POLLOUT : POLLIN);
}

short poll_events(const detail::incoming_peer& peer) {
    return static_cast<short>(peer.session->wants_write() ? POLLIN | POLLOUT : POLLIN);
}

//! Calls `work`. An exception is logged with what it concerns; returns false then, or if `work`
//! does.
template <typename Work>
bool succeeds(const std::string& subject, Work work) {
    try {
        return work();
    } catch (const std::exception& thrown) {
        LOG(ERROR) << "Peers: " << subject << ": unexpected exception: " << thrown.what() << ".";
        return false;
    }
}

}  // namespace

struct peer_network::impl {
    peer_network_settings settings;
    peer_handlers handlers;
    detail::shared_counters counters;
    detail::descriptor listener;
    detail::descriptor wakeup_event;
    std::string address;
    std::map<std::string, detail::outgoing_peer> outgoing;
    std::list<detail::incoming_peer> incoming;
    std::mutex mutex;
    std::vector<posted_item> posted;  //!< guarded by `mutex`
    bool stopping{false};             //!< guarded by `mutex`
    std::thread thread;

    detail::network_context context() {
        return {settings, counters};
    }

    //! Drops the item if the network is stopping; drops messages also if too many wait.
    void post(posted_item item) {
        {
            const std::lock_guard lock(mutex);
            if (stopping || (posted.size() >= max_posted_messages && !item.read)) {
                return;
            }
            posted.push_back(std::move(item));
        }
        detail::notify(wakeup_event);
    }

    //! Queues the items that other threads posted; false if the network is stopping.
    bool take_posted(instant now) {
        std::vector<posted_item> taken;
        {
            const std::lock_guard lock(mutex);
            if (stopping) {
                return false;
            }
            taken.swap(posted);
        }
        for (auto& item : taken) {
            auto& peer = outgoing[item.address];
            peer.address = item.address;
            if (item.read) {
                enqueue(peer, std::move(item.read));
            } else {
                item.message.queued_at = now;
                enqueue(peer, std::move(item.message));
            }
        }
        return true;
    }

    void advance_all(instant now) {
        for (auto& [peer_address, peer] : outgoing) {
            const bool is_advanced = succeeds("connection to " + peer_address, [&, &to = peer] {
                advance(to, context(), now);
                return true;
            });
            if (!is_advanced) {
                detail::drop_connection(peer, now);
            }
        }
        std::erase_if(outgoing, [&](const auto& entry) { return is_unused(entry.second, now); });
        std::erase_if(incoming, [&](const detail::incoming_peer& peer) {
            return is_timed_out(peer, context(), now);
        });
    }

    void accept_all(instant now) {
        while (true) {
            auto accepted = detail::accept_from(listener);
            if (!accepted.is_open()) {
                return;
            }
            if (incoming.size() >= max_incoming_connections) {
                continue;
            }
            auto session =
                detail::http2_session::create(std::move(accepted), detail::http2_role::server, now);
            if (session) {
                incoming.emplace_back();
                incoming.back().session = std::move(session.value());
                incoming.back().accepted_at = now;
            }
        }
    }

    //! Memory that incomplete messages of all connections take.
    [[nodiscard]] std::size_t kept_bytes() const {
        std::size_t bytes = 0;
        for (const auto& [peer_address, peer] : outgoing) {
            bytes += peer.session ? peer.session->kept_bytes() : 0;
        }
        for (const detail::incoming_peer& peer : incoming) {
            bytes += peer.session->kept_bytes();
        }
        return bytes;
    }

    //! Closes the connection whose incomplete messages take most if those of all take too much.
    void enforce_budget(instant now) {
        const std::size_t total = kept_bytes();
        if (total <= settings.max_kept_bytes) {
            return;
        }
        const auto kept_by = [](const auto& session) {
            return session ? session->kept_bytes() : 0;
        };
        const auto in = std::ranges::max_element(
            incoming, {}, [&](const auto& peer) { return kept_by(peer.session); });
        const auto out = std::ranges::max_element(
            outgoing, {}, [&](const auto& entry) { return kept_by(entry.second.session); });
        const std::size_t most_in = in == incoming.end() ? 0 : kept_by(in->session);
        const std::size_t most_out = out == outgoing.end() ? 0 : kept_by(out->second.session);
        const bool is_incoming = most_in >= most_out;
        LOG(WARNING) << "Peers: closed the connection "
                     << (is_incoming ? "of " + in->transcript.client.value : "to " + out->first)
                     << ": its incomplete messages take most, " << std::max(most_in, most_out)
                     << " bytes of " << total << ", over " << settings.max_kept_bytes << ".";
        if (is_incoming) {
            incoming.erase(in);
        } else {
            detail::drop_connection(out->second, now);
        }
    }

    //! Waits for socket events and handles them.
    void poll_once() {
        std::vector<pollfd> watched = {{listener.value(), POLLIN, 0},
                                       {wakeup_event.value(), POLLIN, 0}};
        std::vector<detail::outgoing_peer*> polled_outgoing;
        std::vector<std::list<detail::incoming_peer>::iterator> polled_incoming;
        for (auto& [peer_address, peer] : outgoing) {
            if (peer.session) {
                polled_outgoing.push_back(&peer);
                watched.push_back({peer.session->socket(), poll_events(peer), 0});
            }
        }
        for (auto it = incoming.begin(); it != incoming.end(); ++it) {
            polled_incoming.push_back(it);
            watched.push_back({it->session->socket(), poll_events(*it), 0});
        }
        poll(watched.data(), watched.size(), static_cast<int>(poll_timeout.count()));
        const instant now = boot_clock::now();
        detail::clear(wakeup_event);
        std::size_t next = 2;
        for (auto* peer : polled_outgoing) {
            const short events = watched[next++].revents;
            const bool is_handled = events == 0 || succeeds("connection to " + peer->address, [&] {
                                        handle_events(*peer, events, context(), now);
                                        return true;
                                    });
            if (!is_handled) {
                detail::drop_connection(*peer, now);
            }
        }
        for (const auto& it : polled_incoming) {
            const short events = watched[next++].revents;
            const bool is_healthy =
                events == 0 || succeeds("connection of " + it->transcript.client.value, [&] {
                    return handle_events(*it, events, context(), handlers, now);
                });
            if (!is_healthy) {
                incoming.erase(it);
            }
        }
        enforce_budget(now);
        if (watched[0].revents != 0) {
            accept_all(now);
        }
    }

    bool is_stopping() {
        const std::lock_guard lock(mutex);
        return stopping;
    }

    //! One turn of the loop; false if the network is stopping.
    bool run_once() {
        const instant now = boot_clock::now();
        if (!take_posted(now)) {
            return false;
        }
        advance_all(now);
        poll_once();
        return true;
    }

    void run() {
        while (!is_stopping()) {
            if (!succeeds("network thread", [this] { return run_once(); })) {
                std::this_thread::sleep_for(failure_pause);
            }
        }
        fail_all_reads();
    }

    void fail_all_reads() {
        for (auto& [peer_address, peer] : outgoing) {
            fail_reads(peer, error_kind::unreachable);
        }
        const std::lock_guard lock(mutex);
        for (auto& item : posted) {
            if (item.read) {
                item.read->reply.set_value(
                    error{error_kind::unreachable, "peer network ended before the read was sent"});
            }
        }
        posted.clear();
    }
};

peer_network::peer_network(std::unique_ptr<impl> implementation)
    : impl_(std::move(implementation)) {}

result<std::unique_ptr<peer_network>> peer_network::start(peer_network_settings settings,
                                                          peer_handlers handlers) {
    if (settings.secret.empty() || settings.self.id.empty()) {
        return error{error_kind::invalid,
                     "connections to peers need a non-empty instance id and secret"};
    }
    auto created = std::make_unique<impl>();
    auto listener = detail::listen_on(settings.self.address);
    if (!listener) {
        return listener.error();
    }
    auto wakeup_event = detail::make_wakeup_event();
    if (!wakeup_event) {
        return wakeup_event.error();
    }
    created->listener = std::move(listener.value());
    created->wakeup_event = std::move(wakeup_event.value());
    created->address = detail::bound_address(created->listener);
    created->settings = std::move(settings);
    created->handlers = std::move(handlers);
    LOG(INFO) << "Peers: listening on " << created->address << ".";
    created->thread = std::thread([self = created.get()] { self->run(); });
    return std::unique_ptr<peer_network>(new peer_network(std::move(created)));
}

peer_network::~peer_network() {
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->stopping = true;
    }
    detail::notify(impl_->wakeup_event);
    impl_->thread.join();
}

void peer_network::send(const member& to, const peer_message& message) {
    std::string bytes = encode_message(message);
    if (bytes.size() > max_message_bytes) {
        LOG(ERROR) << "Peers: dropped an outgoing message over the size limit.";
        return;
    }
    impl_->post({to.address, {to.id, std::move(bytes), {}}, {}});
}

result<std::string> peer_network::read(const std::string& address, std::string_view query,
                                       milliseconds timeout) {
    auto call = std::make_shared<detail::read_call>();
    call->query = query;
    call->deadline = boot_clock::now() + timeout;
    auto reply = call->reply.get_future();
    impl_->post({address, {}, call});
    // A stopping network drops the call without completing it, so the wait needs its own timeout.
    if (reply.wait_for(timeout) != std::future_status::ready) {
        return error{error_kind::timeout, "no reply from the peer in the time allowed"};
    }
    return reply.get();
}

peer_counters peer_network::counters() const {
    const auto& from = impl_->counters;
    peer_counters out;
    out.bytes_sent = from.bytes_sent;
    out.bytes_received = from.bytes_received;
    out.messages_sent = from.messages_sent;
    out.connections_replaced = from.connections_replaced;
    out.authentication_failures = from.authentication_failures;
    return out;
}

std::string peer_network::address() const {
    return impl_->address;
}

}  // namespace cyclamenmount
