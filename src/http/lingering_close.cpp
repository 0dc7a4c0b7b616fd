#include "http/lingering_close.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>

#include "runtime/system_calls.h"

namespace mothrack::http {
namespace {

using boost::system::error_code;

constexpr std::size_t kReadSize = 8192;

}  // namespace

void LingeringClose::Begin() {
  discarded_bytes_ = 0;
  ShutdownSend();
}

void LingeringClose::ShutdownSend() {
  error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
}

void LingeringClose::DiscardUnread() {
  std::array<char, kReadSize> bytes;
  error_code error;
  while (!error && discarded_bytes_ <= kMaxLingerBytes) {
    discarded_bytes_ += runtime::ReadSome(socket_, boost::asio::buffer(bytes), error);
  }
}

}  // namespace mothrack::http
