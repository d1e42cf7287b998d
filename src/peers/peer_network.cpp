//! The network's thread: one poll loop over the listener and all connections.
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
constexpr std::size_t max_incoming = 256;  // connections
constexpr std::size_t max_posted = 4096;   // messages not yet seen by the network's thread

//! Handed from other threads to the network's thread.
struct posted_item {
    std::string address;
    detail::queued_message message;
    std::shared_ptr<detail::read_call> read;  //!< instead of a message
};

short wanted_events(const detail::outgoing_peer& peer) {
    const bool writes = peer.phase == detail::link_phase::connecting || peer.link->wants_write();
    return static_cast<short>(writes ? POLLIN | POLLOUT : POLLIN);
}

short wanted_events(const detail::incoming_peer& peer) {
    return static_cast<short>(peer.link->wants_write() ? POLLIN | POLLOUT : POLLIN);
}

}  // namespace

struct peer_network::impl {
    peer_network_settings settings;
    peer_handlers handlers;
    detail::shared_counters counters;
    detail::descriptor listener;
    detail::descriptor wake_up;
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

    void post(posted_item item) {
        {
            const std::lock_guard lock(mutex);
            if (stopping || (posted.size() >= max_posted && !item.read)) {
                return;
            }
            posted.push_back(std::move(item));
        }
        detail::notify(wake_up);
    }

    //! Takes over what other threads posted; false when the network is to end.
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
                item.message.at = now;
                enqueue(peer, std::move(item.message));
            }
        }
        return true;
    }

    void advance_all(instant now) {
        for (auto& [where, peer] : outgoing) {
            advance(peer, context(), now);
        }
        std::erase_if(outgoing, [&](const auto& entry) { return is_unused(entry.second, now); });
        std::erase_if(incoming, [&](const detail::incoming_peer& peer) {
            return is_stale(peer, context(), now);
        });
    }

    void accept_all(instant now) {
        while (true) {
            auto accepted = detail::accept_from(listener);
            if (!accepted.is_open()) {
                return;
            }
            if (incoming.size() >= max_incoming) {
                continue;
            }
            auto link =
                detail::http2_session::create(std::move(accepted), detail::http2_role::server, now);
            if (link) {
                incoming.emplace_back();
                incoming.back().link = std::move(link.value());
                incoming.back().since = now;
            }
        }
    }

    //! Waits for events and handles them.
    void poll_once() {
        std::vector<pollfd> watched = {{listener.value(), POLLIN, 0}, {wake_up.value(), POLLIN, 0}};
        std::vector<detail::outgoing_peer*> clients;
        std::vector<std::list<detail::incoming_peer>::iterator> servers;
        for (auto& [where, peer] : outgoing) {
            if (peer.link) {
                clients.push_back(&peer);
                watched.push_back({peer.link->socket(), wanted_events(peer), 0});
            }
        }
        for (auto it = incoming.begin(); it != incoming.end(); ++it) {
            servers.push_back(it);
            watched.push_back({it->link->socket(), wanted_events(*it), 0});
        }
        poll(watched.data(), watched.size(), static_cast<int>(poll_timeout.count()));
        const instant now = boot_clock::now();
        detail::clear(wake_up);
        std::size_t next = 2;
        for (auto* peer : clients) {
            const short events = watched[next++].revents;
            if (events != 0) {
                handle_events(*peer, events, context(), now);
            }
        }
        for (const auto& it : servers) {
            const short events = watched[next++].revents;
            if (events != 0 && !handle_events(*it, events, context(), handlers, now)) {
                incoming.erase(it);
            }
        }
        if (watched[0].revents != 0) {
            accept_all(now);
        }
    }

    void run() {
        while (true) {
            const instant now = boot_clock::now();
            if (!take_posted(now)) {
                break;
            }
            advance_all(now);
            poll_once();
        }
        fail_all_reads();
    }

    void fail_all_reads() {
        for (auto& [where, peer] : outgoing) {
            fail_reads(peer, error_kind::unreachable);
        }
        const std::lock_guard lock(mutex);
        for (auto& item : posted) {
            if (item.read) {
                item.read->answer.set_value(error{error_kind::unreachable, "network ended"});
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
        return error{error_kind::invalid, "peers need an id and a secret"};
    }
    auto made = std::make_unique<impl>();
    auto listener = detail::listen_on(settings.self.address);
    if (!listener) {
        return listener.error();
    }
    auto wake_up = detail::make_wake_up();
    if (!wake_up) {
        return wake_up.error();
    }
    made->listener = std::move(listener.value());
    made->wake_up = std::move(wake_up.value());
    made->address = detail::bound_address(made->listener);
    made->settings = std::move(settings);
    made->handlers = std::move(handlers);
    LOG(INFO) << "Peers: listening on " << made->address << ".";
    made->thread = std::thread([self = made.get()] { self->run(); });
    return std::unique_ptr<peer_network>(new peer_network(std::move(made)));
}

peer_network::~peer_network() {
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->stopping = true;
    }
    detail::notify(impl_->wake_up);
    impl_->thread.join();
}

void peer_network::send(const member& to, const peer_message& message) {
    std::string bytes = encode_message(message);
    if (bytes.size() > max_message_bytes) {
        LOG(ERROR) << "Peers: dropped a message over the size limit.";
        return;
    }
    impl_->post({to.address, {to.id, std::move(bytes), {}}, {}});
}

result<std::string> peer_network::read(const std::string& address, std::string_view query,
                                       milliseconds timeout) {
    auto call = std::make_shared<detail::read_call>();
    call->query = query;
    call->deadline = boot_clock::now() + timeout;
    auto answer = call->answer.get_future();
    impl_->post({address, {}, call});
    // A call that the ending network no longer takes is never answered: the time limit ends it.
    if (answer.wait_for(timeout) != std::future_status::ready) {
        return error{error_kind::timeout, "no answer from the peer in time"};
    }
    return answer.get();
}

peer_counters peer_network::counters() const {
    const auto& from = impl_->counters;
    peer_counters out;
    out.bytes_sent = from.bytes_sent;
    out.bytes_received = from.bytes_received;
    out.messages_sent = from.messages_sent;
    out.connections_replaced = from.connections_replaced;
    out.strangers_refused = from.strangers_refused;
    return out;
}

std::string peer_network::address() const {
    return impl_->address;
}

}  // namespace cyclamenmount
