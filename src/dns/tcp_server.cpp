#include "dns/tcp_server.h"

#include <chrono>
#include <optional>
#include <utility>

#include "runtime/system_calls.h"

namespace mothrack::dns {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

// Resolution of the connection timeouts.
constexpr auto kSweepInterval = milliseconds(250);
// While draining: how soon an idle connection is closed.
constexpr auto kDrainSweepInterval = milliseconds(10);

}  // namespace

TcpServer::TcpServer(boost::asio::io_context& io, const runtime::Endpoint& endpoint, const Settings& settings,
                     runtime::Descriptors& descriptors, Frontend& frontend, runtime::Logger& log)
    : settings_(settings),
      descriptors_(descriptors),
      frontend_(frontend),
      acceptor_(io, endpoint, "dns", *this, log),
      sweep_timer_(
          io, [this]() -> runtime::Duration { return draining_ ? kDrainSweepInterval : kSweepInterval; },
          [this] {
            Sweep();
            return true;
          }) {
  sweep_timer_.Restart();
}

TcpServer::~TcpServer() {
  for (const auto& connection : connections_.TakeAll()) connection->Drop();
}

void TcpServer::Drain() {
  draining_ = true;
  sweep_timer_.Restart();
}

bool TcpServer::HasCapacity() const {
  return connections_.size() < settings_.max_tcp_clients &&
         descriptors_.HasCapacity(runtime::Descriptors::Side::kClient);
}

// Closes the connection that has been idle longest.
bool TcpServer::EvictOne() {
  const auto longest_idle =
      connections_.Lowest([](ClientConnection& connection) -> std::optional<runtime::TimePoint> {
        if (!connection.CanCloseUnnoticed()) return std::nullopt;
        return connection.idle_since();
      });
  if (!longest_idle) return false;
  longest_idle->Close();
  return true;
}

void TcpServer::Admit(tcp::socket socket) {
  runtime::ConfigureAccepted(socket);
  const auto connection = std::make_shared<ClientConnection>(
      std::move(socket), ++last_connection_, settings_, descriptors_, frontend_,
      [this](const std::shared_ptr<ClientConnection>& closed) { connections_.Remove(closed); });
  connections_.Add(connection);
  connection->Start();
}

void TcpServer::Sweep() {
  acceptor_.PollForMissedClients();
  const runtime::TimePoint now = runtime::Now();
  for (const auto& connection : connections_.Snapshot()) {
    if (draining_ && !connection->IsNew(now) && connection->CanCloseUnnoticed()) connection->Close();
    connection->CloseIfOverdue(now);
  }
}

}  // namespace mothrack::dns
