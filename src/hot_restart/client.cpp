#include "hot_restart/client.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/asio/local/stream_protocol.hpp>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

#include "hot_restart/messages.h"
#include "hot_restart/socket_passing.h"

namespace mothrack::hot_restart {
namespace {

using boost::system::error_code;
using nlohmann::json;
using Protocol = boost::asio::local::stream_protocol;

// Delay before the takeover is requested again while another successor is starting.
constexpr auto kRetryInterval = std::chrono::milliseconds(50);
constexpr std::size_t kReadSize = 16384;  // bytes

// Sends all of `text` on a blocking socket. Returns false if the connection broke.
bool SendAll(int to, std::string_view text) {
  while (!text.empty()) {
    const ssize_t sent = ::send(to, text.data(), text.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno != EINTR) return false;
    if (sent > 0) text.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Waits until the descriptor is readable (data or the end of the stream). Returns false if it is still not
// readable at `deadline`.
bool WaitUntilReadable(int descriptor, std::chrono::steady_clock::time_point deadline) {
  while (true) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    if (remaining.count() <= 0) return false;
    pollfd ready{descriptor, POLLIN, 0};
    const int events = ::poll(&ready, 1, static_cast<int>(remaining.count()));
    if (events >= 0) return events > 0;
    if (errno != EINTR) return false;
  }
}

// Requests the takeover once. Returns the reply line, or nothing if the connection ended or the deadline
// passed before. Stores the passed socket in `listening` and the bytes after the line in `remainder`.
std::optional<json> FetchState(Protocol::socket& socket, std::chrono::steady_clock::time_point deadline,
                               int& listening, std::string& remainder) {
  const std::string request = json{{kTakeOverKey, kVersion}}.dump() + '\n';
  if (!SendAll(socket.native_handle(), request)) return std::nullopt;
  std::string text;
  while (text.size() < kMaxLineSize) {
    if (!WaitUntilReadable(socket.native_handle(), deadline)) return std::nullopt;
    std::array<char, kReadSize> buffer;
    const ssize_t received = Receive(socket.native_handle(), buffer.data(), buffer.size(), listening);
    if (received <= 0) return std::nullopt;
    text.append(buffer.data(), static_cast<std::size_t>(received));
    while (!text.empty() && text.front() == kSocketMarker) text.erase(0, 1);
    if (const auto end = text.find('\n'); end != std::string::npos) {
      json line = json::parse(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), nullptr, false);
      remainder = text.substr(end + 1);  // bytes that belong to the next lines
      if (line.is_object()) return line;
      return std::nullopt;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<InheritedState> TakeOver(boost::asio::io_context& io, const std::string& path,
                                       runtime::Duration timeout, runtime::Logger& log) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (true) {
    Protocol::socket socket(io);
    error_code error;
    socket.connect(Protocol::endpoint(path), error);
    if (error) return std::nullopt;  // no process is serving
    InheritedState inherited;
    std::string remainder;
    const auto reply = FetchState(socket, deadline, inherited.listening, remainder);
    const bool busy = reply && reply->contains(kBusyKey);
    std::string cause = busy ? "another successor is starting" : "it did not answer";
    if (reply && !busy) {
      try {
        inherited.state = FromJson(*reply);
        if (!IsListening(inherited.listening)) throw std::runtime_error("it passed no listening socket");
        inherited.link = std::make_shared<Link>(std::move(socket), std::move(remainder));
        return inherited;
      } catch (const std::exception& e) {
        cause = e.what();
      }
    }
    if (inherited.listening >= 0) ::close(inherited.listening);
    if (!busy || std::chrono::steady_clock::now() + kRetryInterval > deadline) {
      log.FreeText("handover: nothing taken over from the process that serves: " + cause);
      return std::nullopt;
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

}  // namespace mothrack::hot_restart
