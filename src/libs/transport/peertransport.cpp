// I/O thread that owns the ZeroMQ sockets. Connections carry messages in one
// direction only: a reply is a message to the listening socket of the other host.
#include "transport/peertransport.h"

#include <zmq.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <system_error>
#include <thread>
#include <utility>

namespace ebonywick {

namespace {

// Queue length for each peer. The messages in a longer queue would have expired
// before they are sent.
constexpr int peer_queue_messages = 10000;
// ZMTP heartbeats detect dead connections; without them ZeroMQ would queue messages
// for one until TCP times out.
constexpr int zmtp_heartbeat_ms = 500;
constexpr int zmtp_heartbeat_timeout_ms = 1500;
constexpr int reconnect_ms = 100;
constexpr int reconnect_max_ms = 1000;
// Messages above this size are refused. The largest is a store object of up to 1 MB
// and the fields around it.
constexpr std::int64_t max_message_bytes = std::int64_t{2} * 1024 * 1024;
constexpr int idle_poll_ms = 200;
// Time that a closing socket keeps sending, so that a host that exits still sends
// the release of its lease.
constexpr int close_linger_ms = 200;

std::string address_of(const endpoint& to)
{
    return "tcp://" + to_string(to);
}

} // namespace

struct peer_transport::state
{
    state(endpoint address, message_handler handler, duration idle)
        : listen(std::move(address)), on_message(std::move(handler)), idle_limit(idle), context(1),
          incoming(context, zmq::socket_type::router), wake_in(context, zmq::socket_type::pair),
          wake_out(context, zmq::socket_type::pair)
    {
        incoming.set(zmq::sockopt::linger, 0);
        incoming.set(zmq::sockopt::rcvhwm, peer_queue_messages);
        incoming.set(zmq::sockopt::maxmsgsize, max_message_bytes);
        incoming.set(zmq::sockopt::heartbeat_ivl, zmtp_heartbeat_ms);
        incoming.set(zmq::sockopt::heartbeat_timeout, zmtp_heartbeat_timeout_ms);
        try {
            incoming.bind(address_of(listen));
        } catch (const zmq::error_t& ex) {
            throw std::system_error(ex.num(), std::generic_category(),
                                    "bind " + address_of(listen));
        }
        wake_in.bind("inproc://wake");
        wake_out.connect("inproc://wake");
    }

    void run(const std::stop_token& stop);
    void receive_all();
    void send_all();
    /// Socket for messages to `to`; connects if there is none yet.
    zmq::socket_t& peer(const endpoint& to);
    void close_idle_peers(time_point now);
    /// Wakes the I/O thread; to be called with `mutex` held.
    void wake();

    struct peer_socket
    {
        zmq::socket_t socket;
        time_point last_used{};
    };

    endpoint listen;
    message_handler on_message;
    duration idle_limit;
    zmq::context_t context;
    // Used by the I/O thread only.
    zmq::socket_t incoming;
    zmq::socket_t wake_in;
    std::map<endpoint, peer_socket> peers;
    time_point next_idle_check{};

    std::mutex mutex;
    // Guarded by mutex, up to `wake_pending`.
    std::deque<std::pair<endpoint, std::string>> outgoing;
    zmq::socket_t wake_out;
    // A wake message was sent that the I/O thread has not handled yet.
    bool wake_pending = false;

    std::atomic<std::uint64_t> sent_messages{0};
    std::atomic<std::uint64_t> sent_bytes{0};
    std::atomic<std::uint64_t> received_messages{0};
    std::atomic<std::uint64_t> received_bytes{0};
    std::atomic<std::uint64_t> dropped_messages{0};
    std::atomic<std::uint64_t> open_peers{0};
    std::jthread thread;
};

void peer_transport::state::wake()
{
    if (wake_pending)
        return;
    wake_pending = true;
    wake_out.send(zmq::message_t{}, zmq::send_flags::dontwait);
}

zmq::socket_t& peer_transport::state::peer(const endpoint& to)
{
    const time_point now = boot_clock::now();
    const auto it = peers.find(to);
    if (it != peers.end()) {
        it->second.last_used = now;
        return it->second.socket;
    }
    zmq::socket_t socket{context, zmq::socket_type::dealer};
    socket.set(zmq::sockopt::linger, close_linger_ms);
    socket.set(zmq::sockopt::sndhwm, peer_queue_messages);
    socket.set(zmq::sockopt::heartbeat_ivl, zmtp_heartbeat_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, zmtp_heartbeat_timeout_ms);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_max_ms);
    socket.connect(address_of(to));
    peer_socket& added = peers.emplace(to, peer_socket{std::move(socket), now}).first->second;
    open_peers.store(peers.size());
    return added.socket;
}

void peer_transport::state::close_idle_peers(time_point now)
{
    if (now < next_idle_check)
        return;
    next_idle_check = now + idle_limit / 4;
    std::erase_if(peers, [&](const auto& it) { return now - it.second.last_used >= idle_limit; });
    open_peers.store(peers.size());
}

void peer_transport::state::receive_all()
{
    zmq::message_t part;
    while (incoming.recv(part, zmq::recv_flags::dontwait)) {
        // The first of two parts is the sender's routing id.
        if (part.more())
            continue;
        received_messages.fetch_add(1, std::memory_order_relaxed);
        received_bytes.fetch_add(part.size(), std::memory_order_relaxed);
        on_message(std::string_view{static_cast<const char*>(part.data()), part.size()});
    }
}

void peer_transport::state::send_all()
{
    zmq::message_t signal;
    while (wake_in.recv(signal, zmq::recv_flags::dontwait)) {
    }
    std::deque<std::pair<endpoint, std::string>> batch;
    {
        const std::lock_guard lock{mutex};
        batch.swap(outgoing);
        wake_pending = false;
    }
    for (auto& [to, bytes] : batch) {
        const std::size_t n = bytes.size();
        if (peer(to).send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
            sent_messages.fetch_add(1, std::memory_order_relaxed);
            sent_bytes.fetch_add(n, std::memory_order_relaxed);
        } else {
            dropped_messages.fetch_add(1, std::memory_order_relaxed);
        }
    }
}

void peer_transport::state::run(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        std::array<zmq::pollitem_t, 2> items{
            {{incoming.handle(), 0, ZMQ_POLLIN, 0}, {wake_in.handle(), 0, ZMQ_POLLIN, 0}}};
        try {
            zmq::poll(items.data(), items.size(), std::chrono::milliseconds{idle_poll_ms});
        } catch (const zmq::error_t& ex) {
            if (ex.num() == EINTR)
                continue;
            throw;
        }
        receive_all();
        send_all();
        close_idle_peers(boot_clock::now());
    }
    send_all();
}

peer_transport::peer_transport(endpoint listen, message_handler on_message, duration idle_limit)
    : state_(std::make_unique<state>(std::move(listen), std::move(on_message), idle_limit))
{
    state_->thread = std::jthread{[it = state_.get()](const std::stop_token& stop) {
        it->run(stop);
    }};
}

peer_transport::~peer_transport()
{
    state_->thread.request_stop();
    try {
        const std::lock_guard lock{state_->mutex};
        state_->wake();
    } catch (const std::exception&) {
        // Without it the thread ends its poll after idle_poll_ms.
    }
    state_->thread.join();
}

void peer_transport::send(const endpoint& to, std::string bytes)
{
    const std::lock_guard lock{state_->mutex};
    state_->outgoing.emplace_back(to, std::move(bytes));
    state_->wake();
}

peer_transport::counters peer_transport::totals() const
{
    return counters{state_->sent_messages.load(),     state_->sent_bytes.load(),
                    state_->received_messages.load(), state_->received_bytes.load(),
                    state_->dropped_messages.load(),  state_->open_peers.load()};
}

} // namespace ebonywick
