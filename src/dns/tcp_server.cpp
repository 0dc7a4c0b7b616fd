#include "dns/tcp_server.h"

#include <chrono>
#include <utility>
#include <vector>

namespace mothrack::dns {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// How exact the time-outs of connections are.
constexpr auto kSweepInterval = milliseconds(250);
// While draining: how soon an idle connection is closed.
constexpr auto kDrainSweepInterval = milliseconds(10);

}  // namespace

TcpServer::TcpServer(boost::asio::io_context& io, const runtime::Endpoint& endpoint, const Settings& settings,
                     runtime::Descriptors& descriptors, Frontend& frontend, runtime::Logger& log)
    : settings_(settings),
      descriptors_(descriptors),
      frontend_(frontend),
      acceptor_(io, endpoint, "dns: ", *this, log),
      sweep_timer_(io) {
  ScheduleSweep();
}

TcpServer::~TcpServer() {
  for (const auto& connection : std::exchange(connections_, {})) connection->Drop();
}

void TcpServer::Drain() {
  draining_ = true;
  sweep_timer_.cancel();
  ScheduleSweep();
}

bool TcpServer::Room() const {
  return connections_.size() < settings_.max_tcp_clients &&
         descriptors_.Room(runtime::Descriptors::Side::kClient);
}

// Closes the connection that has been idle longest.
bool TcpServer::MakeRoom() {
  std::shared_ptr<ClientConnection> longest_idle;
  for (const auto& connection : connections_) {
    if (!connection->CanCloseUnnoticed()) continue;
    if (!longest_idle || connection->idle_since() < longest_idle->idle_since()) longest_idle = connection;
  }
  if (!longest_idle) return false;
  longest_idle->Close();
  return true;
}

void TcpServer::Admit(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const auto connection = std::make_shared<ClientConnection>(
      std::move(socket), ++last_connection_, settings_, descriptors_, frontend_,
      [this](const std::shared_ptr<ClientConnection>& closed) { connections_.erase(closed); });
  connections_.insert(connection);
  connection->Start();
}

void TcpServer::ScheduleSweep() {
  sweep_timer_.expires_after(draining_ ? kDrainSweepInterval : kSweepInterval);
  sweep_timer_.async_wait([this](error_code error) {
    if (error) return;
    Sweep();
    ScheduleSweep();
  });
}

void TcpServer::Sweep() {
  acceptor_.Look();
  const runtime::TimePoint now = runtime::Now();
  const std::vector<std::shared_ptr<ClientConnection>> all(connections_.begin(), connections_.end());
  for (const auto& connection : all) {
    if (draining_ && !connection->IsNew(now) && connection->CanCloseUnnoticed()) connection->Close();
    connection->CloseIfOverdue(now);
  }
}

}  // namespace mothrack::dns
