#include "hyssopspar/peer_link.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <thread>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "hyssopspar/logging.h"
#include "hyssopspar/time.h"
#include "pvt/net.h"
#include "pvt/run_loop.h"

namespace hyssopspar {

namespace {

using WsServer = websocketpp::server<websocketpp::config::asio>;
using WsClient = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;

/// Time between attempts to open closed connections.
constexpr milliseconds kReconnectInterval{500};
/// Largest accepted message.
constexpr std::size_t kMaxMessageBytes = 1 << 20;
/// The connection to a peer with more unsent bytes is closed.
constexpr std::size_t kMaxBufferedBytes = 1 << 20;
constexpr const char* kLogComponent = "peer";

/// An outgoing connection.
struct OutgoingConnection {
  Handle m_handle;
  bool m_connected = false;
  bool m_connecting = false;
};

template <class EndpointType>
void DisableLogging(EndpointType* endpoint) {
  endpoint->clear_access_channels(websocketpp::log::alevel::all);
  endpoint->clear_error_channels(websocketpp::log::elevel::all);
}

}  // namespace

struct PeerLink::Impl {
  Handler m_on_message;
  boost::asio::io_context m_io;
  WsServer m_server;
  WsClient m_client;
  std::unique_ptr<boost::asio::steady_timer> m_timer;
  std::map<std::string, OutgoingConnection> m_peers;
  std::thread m_thread;

  void Connect(const std::string& address, OutgoingConnection* peer) {
    websocketpp::lib::error_code ec;
    const WsClient::connection_ptr connection =
        m_client.get_connection("ws://" + address + "/peer", ec);
    if (ec) {
      return;
    }
    peer->m_connecting = true;
    peer->m_handle = connection->get_handle();
    connection->set_open_handler([this, address](const Handle&) {
      const std::map<std::string, OutgoingConnection>::iterator it =
          m_peers.find(address);
      if (it != m_peers.end()) {
        it->second.m_connected = true;
        it->second.m_connecting = false;
      }
    });
    const auto closed = [this, address](const Handle&) {
      const std::map<std::string, OutgoingConnection>::iterator it =
          m_peers.find(address);
      if (it != m_peers.end()) {
        it->second.m_connected = false;
        it->second.m_connecting = false;
      }
    };
    connection->set_fail_handler(closed);
    connection->set_close_handler(closed);
    m_client.connect(connection);
  }

  /// Opens the connections that are closed, and does so again periodically.
  void ReconnectPeers() {
    for (std::pair<const std::string, OutgoingConnection>& peer : m_peers) {
      if (!peer.second.m_connected && !peer.second.m_connecting) {
        Connect(peer.first, &peer.second);
      }
    }
    m_timer->expires_after(kReconnectInterval);
    m_timer->async_wait([this](const boost::system::error_code& ec) {
      if (!ec) {
        ReconnectPeers();
      }
    });
  }

  void Send(const std::string& message) {
    for (std::pair<const std::string, OutgoingConnection>& peer : m_peers) {
      if (!peer.second.m_connected) {
        continue;
      }
      websocketpp::lib::error_code ec;
      const WsClient::connection_ptr connection =
          m_client.get_con_from_hdl(peer.second.m_handle, ec);
      if (ec) {
        peer.second.m_connected = false;
        continue;
      }
      if (connection->get_buffered_amount() > kMaxBufferedBytes) {
        Log(kLogComponent)
            ->warn(
                "closing connection to peer that does not read: unsent data "
                "over limit address={}",
                peer.first);
        peer.second.m_connected = false;
        connection->terminate(ec);
        continue;
      }
      connection->send(message, websocketpp::frame::opcode::binary);
    }
  }
};

PeerLink::PeerLink(Handler on_message) : m_impl(std::make_unique<Impl>()) {
  m_impl->m_on_message = std::move(on_message);
  DisableLogging(&m_impl->m_server);
  DisableLogging(&m_impl->m_client);
  m_impl->m_server.init_asio(&m_impl->m_io);
  m_impl->m_client.init_asio(&m_impl->m_io);
  m_impl->m_server.set_reuse_addr(true);
  m_impl->m_server.set_max_message_size(kMaxMessageBytes);
  m_impl->m_server.set_message_handler(
      [this](const Handle&, const WsServer::message_ptr& message) {
        m_impl->m_on_message(message->get_payload());
      });
}

PeerLink::~PeerLink() {
  Stop();
}

Result<void> PeerLink::Start(const std::string& address) {
  boost::system::error_code parse_error;
  const boost::asio::ip::tcp::endpoint endpoint =
      pvt::ParseAddress(address, parse_error);
  websocketpp::lib::error_code ec = parse_error;
  if (!ec) {
    m_impl->m_server.listen(endpoint, ec);
  }
  if (!ec) {
    m_impl->m_server.start_accept(ec);
  }
  if (ec) {
    return Fail(ErrorCode::kUnavailable,
                "can't listen on " + address + ": " + ec.message());
  }
  m_impl->m_timer = std::make_unique<boost::asio::steady_timer>(m_impl->m_io);
  boost::asio::post(m_impl->m_io, [this] { m_impl->ReconnectPeers(); });
  m_impl->m_thread =
      std::thread([this] { pvt::RunGuarded(&m_impl->m_io, "peer", nullptr); });
  return Ok();
}

std::uint16_t PeerLink::Port() const {
  boost::system::error_code ec;
  return m_impl->m_server.get_local_endpoint(ec).port();
}

void PeerLink::SetPeers(const std::set<std::string>& addresses) {
  boost::asio::post(m_impl->m_io, [this, addresses] {
    for (const std::string& address : addresses) {
      m_impl->m_peers.emplace(address, OutgoingConnection());
    }
    std::map<std::string, OutgoingConnection>::iterator it =
        m_impl->m_peers.begin();
    while (it != m_impl->m_peers.end()) {
      if (addresses.count(it->first) > 0) {
        ++it;
        continue;
      }
      websocketpp::lib::error_code ignored;
      m_impl->m_client.close(it->second.m_handle,
                             websocketpp::close::status::going_away, "",
                             ignored);
      it = m_impl->m_peers.erase(it);
    }
  });
}

void PeerLink::Broadcast(const std::string& message) {
  boost::asio::post(m_impl->m_io, [this, message] { m_impl->Send(message); });
}

void PeerLink::Stop() {
  m_impl->m_io.stop();
  if (m_impl->m_thread.joinable()) {
    m_impl->m_thread.join();
  }
}

}  // namespace hyssopspar
