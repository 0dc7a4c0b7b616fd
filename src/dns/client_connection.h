// A client's TCP connection. Serves many queries at a time and sends the responses in the order in which they
// become available (RFC 7766 section 7).
//
// Owned by a TcpServer and kept alive by its pending handlers. Used on the thread of the event loop only. The
// bounds and timeouts are in Settings. Socket errors and malformed frames close the connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

#include "dns/frames.h"
#include "dns/frontend.h"
#include "dns/settings.h"
#include "runtime/clock.h"
#include "runtime/descriptors.h"

namespace mothrack::dns {

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using OnClose = std::function<void(const std::shared_ptr<ClientConnection>&)>;

  // `number` distinguishes the connections of one server. `on_close` is called once, unless Drop() is called
  // first. The references must stay valid until then.
  ClientConnection(boost::asio::ip::tcp::socket socket, std::uint64_t number, const Settings& settings,
                   runtime::Descriptors& descriptors, Frontend& frontend, OnClose on_close);

  // Starts reading. Must be called once, after a shared_ptr owns the connection.
  void Start() { WaitReadable(); }
  // Closes the connection; open queries get no response.
  void Close();
  // The server is being destroyed: closes the socket without calling `on_close`. Pending handlers have no
  // effect.
  void Drop();

  // When the connection was accepted, or when its last response was queued.
  runtime::TimePoint idle_since() const { return idle_since_; }
  // No partial query has been read, no query is open and no response is unwritten.
  bool idle() const { return open_.empty() && frame_reader_.empty() && unwritten_.empty(); }
  // Accepted so recently that its first query is probably in flight.
  bool IsNew(runtime::TimePoint now) const;
  // Idle, and the kernel's receive buffer holds no bytes either.
  bool CanCloseUnnoticed();

  // Closes the connection if the client exceeds a timeout of the settings.
  void CloseIfOverdue(runtime::TimePoint now);

 private:
  // Reading pauses while too many queries are open or the client does not read its responses.
  bool IsPaused() const;
  bool HasNothingToWrite() const { return open_.empty() && unwritten_.empty(); }
  void WaitReadable();
  void Receive();
  void ProcessFrames();
  void HandleFrame(Bytes message);
  void Send(const Buffer& response);
  void Flush();

  const Settings& settings_;
  Frontend& frontend_;
  const OnClose on_close_;
  std::optional<runtime::Descriptors::Slot> slot_;
  boost::asio::ip::tcp::socket socket_;
  Frontend::Client client_;
  std::unordered_set<Frontend::Handle> open_;
  FrameReader frame_reader_;
  Buffer unwritten_;
  runtime::TimePoint idle_since_;
  runtime::TimePoint read_started_;   // of the incomplete frame
  runtime::TimePoint write_started_;  // of the unwritten bytes, or the last write that made progress
  bool unused_ = true;                // no frame has arrived
  bool waiting_ = false;              // a wait for readability is pending
  bool flushing_ = false;             // a wait for writability is pending
  bool processing_ = false;           // guards ProcessFrames() against re-entry
  bool ended_ = false;                // the client has half-closed
  bool broken_ = false;               // the client sent a frame that is no message; reading has ended
  bool closed_ = false;
};

}  // namespace mothrack::dns
