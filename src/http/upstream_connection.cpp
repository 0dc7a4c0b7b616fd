#include "http/upstream_connection.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/socket_base.hpp>
#include <utility>

#include "runtime/system_calls.h"

namespace mothrack::http {

using boost::asio::ip::tcp;
using boost::system::error_code;

void UpstreamPool::Remove(const UpstreamConnection& connection) {
  std::erase_if(idle, [&](const auto& other) { return other.get() == &connection; });
}

UpstreamConnection::UpstreamConnection(boost::asio::io_context& io, runtime::Descriptors& descriptors,
                                       TransportCounters& counters, const std::shared_ptr<UpstreamPool>& pool)
    : counters_(counters),
      pool_(pool),
      slot_(std::in_place, descriptors, runtime::Descriptors::Side::kUpstream),
      socket_(io),
      timer_(io) {}

error_code UpstreamConnection::OpenSocket() {
  error_code error;
  socket_.open(pool()->location.endpoint.protocol(), error);
  if (!error) socket_.set_option(tcp::no_delay(true), error);
  if (!error) socket_.non_blocking(true, error);
  return error;
}

void UpstreamConnection::Connect(std::function<void(error_code)> done) {
  ++counters_.opened;
  socket_.async_connect(pool()->location.endpoint,
                        [self = shared_from_this(), done = std::move(done)](error_code error) {
                          if (self->closed_) return;
                          self->connected_ = !error;
                          done(error);
                        });
}

void UpstreamConnection::Close() {
  if (closed_) return;
  closed_ = true;
  ++(connected_ ? counters_.closed : counters_.failed);
  error_code ignored;
  socket_.close(ignored);
  slot_.reset();
}

void UpstreamConnection::BeginIdle() {
  idle_since_ = runtime::Now();
  Watch();
}

void UpstreamConnection::Watch() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), use = use_](error_code error) {
    if (error || self->closed_ || self->use_ != use) return;
    error_code none;
    runtime::PeekByte(self->socket_, none);
    if (!none) ++self->counters_.idle_bytes;
    if (const auto pool = self->pool()) pool->Remove(*self);
    self->Close();
  });
}

bool UpstreamConnection::LooksAlive() {
  if (closed_) return false;
  error_code error;
  runtime::PeekByte(socket_, error);
  return runtime::WouldBlock(error);
}

void UpstreamConnection::DiscardUnsent() {
  int unsent = 0;
  if (closed_ || ::ioctl(socket_.native_handle(), SIOCOUTQ, &unsent) != 0 || unsent <= 0) return;
  error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

}  // namespace mothrack::http
